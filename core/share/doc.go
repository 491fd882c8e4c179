// Package share decides where a request goes: it keeps count of what runs at
// the backend servers, over all entry VMs, chooses the one that is loaded
// least, and bounds the repeats of requests.
//
// A Book is a state machine without I/O and without a lock: one task owns it
// or guards it.
package share
