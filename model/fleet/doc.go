// Package fleet emulates the entry VMs and the heads of one model, or the servers of one
// plain service, in simulated time and without I/O. Each node has a share.Balancer of its
// own and sends its load to the others as entry does, so that with many nodes the reports
// are older. It measures what the choice of a server means to callers.
//
// A head processes prompts one after the other and sends the events of its streams at
// intervals that grow with its load. Its pace can depend on the load and on the time.
package fleet
