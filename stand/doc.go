// Package stand holds small stand-ins (test doubles) of the systems around
// kumquathinge: the log service, the list of VMs, the weight store, model engines
// and plain services. docs/PEERS.md describes their protocols.
//
// Each stand-in is an HTTP server that a test embeds, or that the program standin
// runs as a process:
//
//	log := stand.NewLog()
//	err := log.Start("127.0.0.1:0")
//	...
//	defer log.Close()
//	addr := log.Addr()
//
// SetFault and POST /fault replace all faults of a stand-in. A stopped stand-in
// accepts no connections, so that its own /fault cannot be reached: Control
// returns a handler for the faults that can be served at another address.
//
// The stand-ins use net/http because its handlers can drop a connection in the
// middle of a response.
package stand
