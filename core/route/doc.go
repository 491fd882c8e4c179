// Package route chooses the group for a request although load reports lag and
// cache events arrive late and with gaps.
//
// A Router estimates the load of each group as its last report plus the
// requests that this entry VM has sent, minus those that have ended, since the
// report was made. It then proceeds in three steps.
//
// Affinity: the prefix of a prompt is divided into blocks (see Blocks). The
// Router prefers groups that are expected to cache the longest run of these
// blocks, then the first groups in a rendezvous ranking for the first block
// (Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
// IEEE/ACM Transactions on Networking 6(1), 1998). The expected cache contents
// follow from the Router's own choices and are corrected by cache events.
//
// Bound: a group is skipped if one more request would raise its load above
// Config.LoadBound times the mean load (Mirrokni, Thorup and Zadimoghaddam,
// "Consistent hashing with bounded loads", SODA 2018).
//
// Choices: if affinity yields no group, the least loaded of a few groups drawn
// at random takes the request (Mitzenmacher, "The power of two choices in
// randomized load balancing", IEEE Transactions on Parallel and Distributed
// Systems 12(10), 2001). This tolerates stale reports better than choosing the
// least loaded of all groups.
//
// A group that is much slower than the median is a straggler. Up to a third of
// the groups can be excluded as stragglers, as long as the others have free
// capacity. A small fraction of the requests still goes to stragglers, to
// detect their recovery.
package route
