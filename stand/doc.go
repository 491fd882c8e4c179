// Package stand holds small stand-ins of the systems around kumquathinge: the
// log service, the list of VMs, the weight store, model engines and plain
// services. docs/PEERS.md describes their protocols.
//
// Each stand-in is a server of its own that a test embeds and that program
// standin runs as a process:
//
//	log := stand.NewLog()
//	err := log.Start("127.0.0.1:0")
//	...
//	defer log.Close()
//	addr := log.Addr()
//
// Faults are set by SetFault or by POST /fault, which replace all faults of
// the stand-in. A stand-in that is dead accepts no connection, so that its
// own /fault can't be reached: Control returns a handler that can be served
// elsewhere.
//
// The stand-ins use net/http, whose handlers can drop a connection in the
// middle of an answer.
package stand
