// Package plain calls plain services and implements core.Plain over
// connections of package wire.
//
// A reply counts only if it echoes the attempt and states its length. A server
// that answers status 503 with the header X-Refused: 1 states that the call
// did not run.
package plain
