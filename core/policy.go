package core

import "time"

// Candidate is a group that could take a request, with its known load. Load is
// the latest report of the group's leader, and LoadAt the time at which that
// report was requested. InFlight is the number of requests that this entry VM
// itself has in flight at the group, and Capacity the number of requests that
// the group runs concurrently.
type Candidate struct {
	Group        GroupName
	FencingToken Offset
	Load         Load
	LoadAt       time.Time
	InFlight     int
	Capacity     int
}

// Chooser selects the group for a request among candidates that may receive
// requests. Blocks are the hashes of the prompt's prefix blocks, with the
// longest prefix last. The random number rnd is uniform in [0, 1<<64). Choose
// returns the index of the selected candidate, or -1 if cands is empty.
type Chooser interface {
	Choose(cands []Candidate, blocks []uint64, now time.Time, rnd uint64) int
}
