// Package node is the daemon of an entry VM: it reads the start file, wires
// the tasks and runs them as groups that stop together.
//
// Each task owns its state. The store task owns the fold of the log; the list
// task the platform's list of VMs; the probe task the connections to the
// backend servers of the node's availability zone; the beat task what is known
// of the other entry VMs; the control task the zone's orders and proposals.
// Requests pass from package front through queue and serve, which read
// immutable tables that the tasks publish.
package node
