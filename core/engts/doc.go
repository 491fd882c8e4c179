// Package engts is the conformance test of core.Engine: what a client states of
// a request's outcome is held against what the engine counted.
package engts
