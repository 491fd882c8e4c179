// Package peer implements the RPCs between entry VMs.
//
// The procedures use connect-go with a CBOR codec. Exchange exchanges
// heartbeats, Relay and State return what a node has read of the platform's
// log, and Forward runs a job in another availability zone and streams the
// response.
//
// A forwarded response starts with an empty part, which states that the peer
// accepted the job. The server repeats it as a keep-alive while the job writes
// no parts. A client that receives nothing within StreamIdleTimeout cancels the
// call.
package peer
