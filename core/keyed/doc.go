// Package keyed holds copies of a keyed topic of the store, of which only the
// newest record of each key counts.
//
// A Replica takes what a node reads from the store or from another node's
// replica, and reports what changed. It doesn't read itself. A record never
// replaces a newer one of its key, and nothing between two records is skipped:
// what doesn't continue at the replica's position is rejected.
//
// When the store comes back from an older copy, it begins another era: its offsets
// go back, so what was read in the former era has no position any more. A replica
// enters the era with a snapshot of the store, or with the first page of a replica
// that has. Records that it knew stay until the whole content of the new era is
// read; those that are not part of it are removed then.
package keyed
