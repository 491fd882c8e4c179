package order

import (
	"time"

	"kumquathinge/core"
)

// Request asks whether an order may be sent. Times are monotonic readings of
// the sender's own clock.
//
// Confirmed is the instant just before the sender began the check that last
// showed its view to be current: a read of the log to its end, or the
// agreement of all peers of the zone. AssignedSeen is the instant at which the
// sender learned of the assignment or retirement that the order carries out.
// Now must be read right before the send.
type Request struct {
	SupportsFencing  bool
	ConfirmedAt      time.Time
	AssignmentSeenAt time.Time
	Now              time.Time
	Lease            time.Duration
}

// CheckSend returns nil if the order may be sent at req.Now and an error with
// core.CodeNotConfirmed otherwise. It must be called for each order: a node
// that was suspended between two orders finds its confirmation expired.
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
		return core.Errorf(core.CodeNotConfirmed, "view was confirmed %v ago, lease is %v", age, req.Lease)
	}
	if req.AssignmentSeenAt.IsZero() {
		return core.Errorf(core.CodeNotConfirmed, "assignment has not been seen")
	}
	if age := req.Now.Sub(req.AssignmentSeenAt); age < req.Lease {
		return core.Errorf(core.CodeNotConfirmed, "assignment was seen %v ago, lease is %v", age, req.Lease)
	}
	return nil
}

// Deadline returns the instant at which the right to send ends, and false if it
// does not end. It serves as the deadline of the call that carries the order.
func Deadline(req Request) (time.Time, bool) {
	if req.SupportsFencing {
		return time.Time{}, false
	}
	return req.ConfirmedAt.Add(req.Lease), true
}
