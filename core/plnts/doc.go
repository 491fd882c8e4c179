// Package plnts provides the conformance tests of core.PlainServer. They
// compare the outcome that a client reports for a call with the number of times
// that the service ran it.
package plnts
