// Package emul emulates a deployment of model servers that form groups, in
// simulated time and without I/O. It drives a place.Planner as the orderer of a
// deployment does and measures what the planner's policy costs.
//
// A Cluster carries out orders as servers do. A host keeps one model. Loads
// from the weight store run concurrently and slow each other down beyond a
// limit. A Cluster records the orders that violate an invariant: a server that
// is taken from a group that may be serving, or a group that is opened without
// a member that was ready.
//
// A Pattern describes a deployment and a schedule of losses and arrivals. Run
// plays a pattern and returns a Result: the time during which groups of each
// model served, the time of servers that served in no group, by reason, and the
// time from a loss to the return of its group. Bound returns what no planner
// can exceed.
package emul
