// Package place plans which backend servers form groups and returns the orders
// that establish them. A Planner is a state machine without I/O: each step
// takes a view of the servers and returns orders, and the results of the orders
// are reported back to it.
//
// The Planner keeps little state of its own. At each step it reads the current
// groups from the servers' entries, so that a new orderer continues where the
// previous one stopped. Safety relies on checks of the servers: they refuse
// orders with an outdated term of the orderer or an outdated epoch of a group.
//
// A group is opened only after every member has reported ready under the
// group's name and epoch. Members of an epoch whose head may be serving are never
// ordered to join another one, also not of the same group: the epoch must have ended
// first, by a fact about its head.
package place
