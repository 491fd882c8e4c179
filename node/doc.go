// Package node is the daemon of an entry VM: it reads the start file, wires
// the tasks and runs them as one group that stops together.
//
// Each task owns its state: the store task the replicated state, the list task
// the platform's list of VMs, the probe task the connections to the backend
// servers of the node's availability zone, the membership task the table of
// the other entry VMs, and the control task the zone's orders and proposals.
// Requests pass from package front through queue and serve, which read
// immutable tables that the tasks publish.
package node
