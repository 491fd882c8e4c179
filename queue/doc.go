// Package queue serialises access to the admission state of an entry VM.
//
// The goroutine in Run owns the admit.Controller. Enter, Ticket.Done and the
// setters send messages to it and may be called from any goroutine. Enter
// blocks until its job is admitted or rejected. A job whose caller cancels
// while it is queued is removed from the queue.
package queue
