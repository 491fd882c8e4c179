// Package engine speaks the protocol of model engines and implements
// core.Engine over connections of package wire.
//
// An answer to Generate is checked chunk by chunk before it is handed on: see
// flight.Guard. The connection of an answer that fails the check is closed.
// After silence the idle connections to the engine are dropped, so that the
// next call dials. A probe that fails on a connection which had been used
// before is decided by a fresh one.
package engine
