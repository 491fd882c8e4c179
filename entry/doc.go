// Package entry implements the daemon of an entry VM, a node that receives
// callers' requests and forwards them to backend servers.
//
// A node forwards requests to groups of model servers and to plain services,
// whose servers work alone. It follows the operators' configuration and the
// records of servers and nodes in the platform's store, and sends its peers
// heartbeats with the load that it places on servers. One of the nodes, the
// orderer, also sends the orders that form the groups.
//
// The tasks of a node run in one group that stops together. The configuration
// and the servers are published as immutable values. Decisions are made by the
// state machines of core/place and core/share.
package entry
