// Package queue is the task that owns the admission state of an entry VM.
//
// Run owns the admit.Machine. Enter, Ticket.Done and the setters talk to it
// by messages and may be called from any goroutine. Enter blocks until its job
// may run or is refused; a job whose caller goes away while it waits leaves
// the queue.
package queue
