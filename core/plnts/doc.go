// Package plnts is the conformance test of core.Plain: what a client states of
// a call's outcome is held against what the service counted.
package plnts
