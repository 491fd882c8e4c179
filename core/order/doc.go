// Package order decides when an order may be sent to an engine.
//
// Engines that refuse old fencing numbers protect themselves: an order with
// the number of the accepted assignment may be sent at any time. Engines that
// ignore the number are protected by a lease in the manner of Gray and
// Cheriton (Leases, SOSP 1989): a node sends them an order only within the
// lease after the instant at which it last confirmed that its view was
// current, and the orderer of a newer assignment first waits the lease out.
package order
