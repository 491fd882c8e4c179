// Package lines reads replay files: JSON lines of timestamped events, the last
// of which states the expected outcome. Packages flight, once and tail replay
// such files through their state machines.
package lines
