// Package soak runs kumentry as separate processes on one machine and injects
// faults from outside: signals that stop, freeze, kill and restart processes, a
// loopback proxy in front of the store and of each backend server, a store that
// is down, slow or has its history compacted, backend servers that fail, and
// nodes that reach no backend server.
// Clients keep sending requests meanwhile.
//
// The seed of a run determines its faults. A run checks, from what clients and
// backend servers observed, the guarantees of the system: responses are
// complete, a rejected request was not executed, a request executes no more
// often than allowed, groups are complete, a configuration is in force within
// maxConfigDelay, callers of nodes that reach no backend server are served like
// those of the others, and every node serves again after the last fault.
//
// Heartbeats between nodes are not cut, because nodes send them to addresses
// that no proxy can intercept. Clocks are not changed, because nodes base their
// decisions on the monotonic clock only.
package soak
