// Package reach decides whether an entry VM can open connections to the backend servers
// of a service.
//
// Failures of single servers are usual, and open connections may live on in a partition.
// A Tracker therefore waits for a sign that something is wrong, and then relies on
// probes: requests over new connections to several servers at a time. Servers count as out of reach
// once all probes of two rounds have failed, and as within reach once half of a round has
// succeeded.
//
// The package does no I/O. It is based on the monotonic clock of its caller.
package reach
