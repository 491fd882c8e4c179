// Package order decides when an order may be sent to an engine.
//
// Engines that reject old fencing tokens need no further protection: an order
// with the token of the accepted assignment may be sent at any time. Engines
// that ignore the token are protected by a lease (Gray and Cheriton, Leases,
// SOSP 1989): a node sends them an order only within the lease duration after
// it last confirmed that its view was current, and a node that carries out a
// newer assignment first waits until the lease has expired.
package order
