// Package repair decides what the proposer of a zone does so that its groups
// are served: which VMs to assign to a group, when to wait for a missing
// member, when to replace it, and which orders to send to the engines.
//
// A Controller is a state machine. Step takes what the node knows and returns
// records to propose and orders to send. Safety does not rest on it: the fold
// of the log refuses an assignment whose premise no longer holds, and package
// gate refuses to dispatch to an incomplete group. Two controllers that act at
// once cost a rejected record or a repeated order.
//
// A VM moves between groups in these steps, each a consequence of what the
// step before left in the log or in the probes: the assignment is retired, its
// requests in progress end, its members are ordered to unload, they are probed
// empty for the dispatch bound, an unload record frees them, and an assignment
// gives them to the next group. Only then are they ordered to load.
package repair
