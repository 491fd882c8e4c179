// Package store runs the task that owns the state folded from the platform's
// log and performs the reads and appends that following it needs.
//
// Readers take the newest View without a lock and wait for the next change on
// a channel. Everything else is asked of the task by message.
package store
