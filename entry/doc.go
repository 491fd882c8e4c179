// Package entry is the daemon of an entry VM on the users' platform.
//
// One process does all: it takes callers' requests, sends them to groups of
// model servers and to plain services, follows the operators' configuration
// and the servers' entries in the platform's store, and tells its peers what
// it runs. One of the nodes, the orderer, also forms the groups.
//
// Tasks own their sockets and run in a group that stops together. The
// configuration and the servers are published as immutable values; decisions
// are made by the state machines of core/place and core/share.
package entry
