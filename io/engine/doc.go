// Package engine implements core.Engine, a client for the HTTP protocol of model
// engines, over connections of package wire.
//
// Each chunk of a response to Generate is checked by a flight.ChunkValidator
// before it is returned. If a check fails, the connection is closed. After a
// timeout the idle connections to the engine are closed, so that the next call
// dials. A probe that fails on a reused connection is retried once on a new one.
package engine
