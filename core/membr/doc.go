// Package membr tracks which entry VMs are live, from the heartbeats that they
// exchange.
//
// Two nodes may see different sets of live nodes, so nothing that requires
// agreement may depend on them. The package also selects the peers to exchange
// heartbeats with, ranks nodes for tasks by rendezvous hashing (Thaler and
// Ravishankar, A Name-Based Mapping Scheme for Rendezvous, 1996), and detects
// nodes whose states folded from the same log diverge.
package membr
