// Package store maintains the replicated state of an entry VM: it follows the
// platform's log, folds the log's entries into a state, and appends records.
//
// One goroutine owns the state; other operations send messages to it. Readers
// load the newest View without a lock and wait for the next change on a
// channel.
package store
