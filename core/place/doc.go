// Package place decides which backend servers form groups, and which orders
// bring that about. It is a state machine without I/O: a Machine is given the
// present view of the servers and returns orders; it is told how servers
// answered them.
//
// The Machine holds little state of its own. What stands is read from the
// servers' own entries at each step, so that an orderer that takes over goes on
// where the last one ended. Safety rests on what servers check themselves: the
// term of the orderer and the epoch of a group.
//
// A group is opened only after each member has reported ready under the
// group's name and epoch. Members of a group whose head may serve are never
// ordered into another group: the head is made to leave first, and only a head
// that is gone needs not be asked.
package place
