// Package membr keeps the entry VMs that are alive, from the beats that they
// exchange.
//
// Nothing that must be agreed rests on it: two nodes may see different sets.
// It chooses whom to exchange beats with, ranks nodes for duties by rendezvous
// hashing (Thaler and Ravishankar, A Name-Based Mapping Scheme for Rendezvous,
// 1996), and raises an alarm when two nodes have folded one log into two
// states.
package membr
