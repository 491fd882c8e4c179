// Package engts provides the conformance tests of core.Engine. They compare the
// outcome that a client reports for a request with the number of times that the
// engine ran it.
package engts
