// Package lines reads replay files: JSON lines of timestamped events, of which
// the last states the outcome. Packages flight, once and tail replay such files
// through their state machines.
package lines
