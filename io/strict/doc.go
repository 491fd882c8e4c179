// Package strict rejects the responses that net/http accepts although HTTP does not allow
// them: those with an invalid status code, or with a blank in or after a field name.
package strict
