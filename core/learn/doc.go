// Package learn estimates the load that each backend server sustains within the latency
// targets of its routes, over all entry VMs (the nodes) together, and its speed relative
// to the other servers of its class: the heads of one model, or the servers of a plain
// service.
//
// An Estimator counts the first events, answers and event gaps that its node sees, and
// how many of them were late, and adds the counts that other nodes report. A server that
// is late more often than its class gets a lower limit of requests, which rises again
// step by step while it keeps its targets. What a server says of itself is not used. See
// docs/design/server-capacity.md.
//
// An Estimator performs no I/O and no locking; its user must serialise access.
package learn
