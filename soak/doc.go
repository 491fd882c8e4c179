// Package soak runs kumentry as separate processes on one machine and injures
// them from outside: signals that stop, freeze, kill and restart processes, a
// loopback proxy before each backend server and the store, a store that is
// down, slow or forgetful, servers that fail. Callers go on meanwhile.
//
// What a run does follows from its seed. While it runs and at its end it
// checks, from what callers and servers saw, the promises of the system: whole
// answers, refusals that have not run, requests that run once, groups that are
// complete, a configuration that holds after its bound, and service again after
// the last fault.
//
// Reports between nodes are not cut here, as they use no address that a proxy
// can stand before. Clocks are not changed: only the steady clock decides
// anything in a node.
package soak
