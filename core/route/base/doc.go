// Package base provides simple choosers as baselines for core/route:
// round-robin, least loaded by the last report, random, and rendezvous hashing
// of the prefix.
package base
