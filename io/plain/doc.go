// Package plain implements core.PlainServer, a client for services that do not
// run a model, over connections of package wire.
//
// A reply is accepted only if it echoes the attempt ID and states its length.
// With status 503 and the header X-Refused: 1 a server states that the call did
// not run.
package plain
