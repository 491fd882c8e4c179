// Package operfk holds a node in memory for tests of the operators' interface
// and its clients. Its log is a slice and its faults are set by methods.
package operfk
