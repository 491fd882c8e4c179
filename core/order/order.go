package order

import (
	"time"

	"kumquathinge/core"
)

// Request holds what decides whether an order may be sent. Times are monotonic
// readings of the sender's own clock.
//
// SupportsFencing states that the engine rejects old fencing tokens.
// ConfirmedAt is the time just before the start of the check that last showed
// the sender's view to be current: a read of the log to its end, or agreement
// with all peers of the zone. AssignmentSeenAt is the time at which the sender
// first saw the assignment or retirement that the order carries out. Now must
// be read right before the send.
type Request struct {
	SupportsFencing  bool
	ConfirmedAt      time.Time
	AssignmentSeenAt time.Time
	Now              time.Time
	Lease            time.Duration
}

// CheckSend returns nil if the order may be sent at req.Now and an error with
// core.CodeNotConfirmed otherwise. It must be called for each order, because
// the confirmation may expire between two orders if the node is suspended.
func CheckSend(req Request) error {
	if req.SupportsFencing {
		return nil
	}
	if req.Lease <= 0 {
		return core.Errorf(core.CodeNotConfirmed, "order lease %v is not positive", req.Lease)
	}
	if req.ConfirmedAt.IsZero() {
		return core.Errorf(core.CodeNotConfirmed, "view has not been confirmed")
	}
	if age := req.Now.Sub(req.ConfirmedAt); age < 0 || age >= req.Lease {
		return core.Errorf(core.CodeNotConfirmed, "view was confirmed %v ago, not within the lease of %v", age, req.Lease)
	}
	if req.AssignmentSeenAt.IsZero() {
		return core.Errorf(core.CodeNotConfirmed, "assignment has not been seen")
	}
	if age := req.Now.Sub(req.AssignmentSeenAt); age < req.Lease {
		return core.Errorf(core.CodeNotConfirmed, "assignment was first seen %v ago, less than the lease of %v", age, req.Lease)
	}
	return nil
}

// Deadline returns the time at which the right to send expires, or false if it
// doesn't expire. It is meant as the deadline of the call that sends the order.
func Deadline(req Request) (time.Time, bool) {
	if req.SupportsFencing {
		return time.Time{}, false
	}
	return req.ConfirmedAt.Add(req.Lease), true
}
