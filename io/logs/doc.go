// Package logs implements core.Log over the HTTP protocol of the platform's
// log service.
//
// No call is repeated here: an append whose answer is lost is reported as
// unknown, and its caller decides.
package logs
