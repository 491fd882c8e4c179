// Package share selects backend servers for requests. It tracks the load of
// each server across all entry VMs (the nodes), chooses the least loaded server
// and limits retries.
//
// A Balancer performs no I/O and no locking; its user must serialise access.
package share
