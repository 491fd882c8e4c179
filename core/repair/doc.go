// Package repair is the controller that keeps the groups of a zone serving. It
// decides which VMs to assign to a group, whether to wait for a missing member
// or to replace it, and which orders to send to the engines.
//
// A Controller is a state machine without I/O. Step receives the node's view
// of the zone and returns records to propose and orders to send. Safety does
// not depend on it: the fold of the log rejects an assignment that is based on
// outdated state, and package gate does not dispatch to an incomplete group.
// If two controllers act at the same time, the cost is a rejected record or a
// repeated order.
//
// A VM moves from one group to another in these steps, each triggered by the
// effect of the previous one on the log or on the probes:
//
//  1. A record retires the assignment.
//  2. The requests in flight on the group end.
//  3. The members are ordered to unload.
//  4. Probes show the members empty for the maximum probe age.
//  5. An unload record frees the VMs.
//  6. A record assigns the VMs to the next group.
//  7. The members are ordered to load.
package repair
