// Package gate decides whether a group may be sent work now.
//
// The decision rests on probes of the backend servers alone: a group may be
// sent work only while the last probe of every member is younger than a bound
// and shows the member ready in the group's current assignment. It needs
// neither the log nor other nodes, so it holds in a zone that is cut off.
//
// The age of a probe counts from the instant at which the probe was sent. A
// node that was suspended therefore finds every probe too old.
//
// What Permit can't rule out is a pause of the node between the check and the
// send. Verify closes that gap: the head of an answer must come from the
// process, the model and the assignment that the permit was given for.
package gate
