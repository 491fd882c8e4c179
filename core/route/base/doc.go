// Package base holds simple choosers that core/route is measured against:
// round-robin, least loaded by the last report, random, and strict prefix
// affinity.
package base
