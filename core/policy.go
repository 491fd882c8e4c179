package core

import "time"

// Candidate is a group that could take a request, with what is known of it.
// Load is the last report of its leader, LoadAt when that was asked for.
// InFlight is the number of this entry VM's own requests in progress there, and
// Capacity the number of requests that the group runs at once.
type Candidate struct {
	Group        GroupName
	FencingToken Offset
	Load         Load
	LoadAt       time.Time
	InFlight     int
	Capacity     int
}

// Chooser picks the group for a request among candidates that may be sent
// work. Blocks are the hashes of the prompt's prefix blocks, longest prefix
// last. The random number rnd is uniform in [0, 1<<64). Choose returns the
// index of the candidate, or -1 if cands is empty.
type Chooser interface {
	Choose(cands []Candidate, blocks []uint64, now time.Time, rnd uint64) int
}
