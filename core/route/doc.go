// Package route chooses the group for a request while reports of load lag and
// cache events come late and with gaps.
//
// A Router estimates each group's load as its last report plus what this
// entry VM has sent and seen ended since the report was made. It then goes
// through three steps.
//
// Affinity: a prompt's prefix is cut into blocks (Blocks). Groups believed to
// hold the longest run of the blocks go first, then the first groups of a
// rendezvous ranking (Thaler and Ravishankar, "Using name-based mappings to
// increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998) for the
// first block. What a group holds is believed from the Router's own choices
// and corrected by cache events.
//
// Bound: a group is passed over if one more request would put it above
// Config.LoadBound times the mean load (Mirrokni, Thorup and Zadimoghaddam,
// "Consistent hashing with bounded loads", SODA 2018).
//
// Choices: without a group by affinity, the least loaded of a few drawn at
// random takes the request (Mitzenmacher, "The power of two choices in
// randomized load balancing", IEEE Transactions on Parallel and Distributed
// Systems 12(10), 2001), which bears stale reports better than the least
// loaded of all.
//
// A group that is much slower than the median is a straggler. It is left out
// while the others have room, no more than a third of the groups at once, and
// gets a small part of the requests by which its recovery is seen.
package route
