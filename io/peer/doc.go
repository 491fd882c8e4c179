// Package peer connects entry VMs with each other.
//
// The procedures run over connect-go with a CBOR codec. Exchange carries
// beats, Relay and State carry what a node has read of the platform's log, and
// Forward runs a job in another availability zone and streams its answer.
//
// A forwarded answer starts with an empty part, which states that the peer
// took the job, and repeats it while nothing else is to be said. A client that
// hears nothing within its silence bound gives the connection up.
package peer
