// Package gate decides whether requests may be dispatched to a group now.
//
// The decision depends only on probes of the backend servers: a group may
// receive requests while the last probe of every member is younger than the
// maximum probe age and shows the member ready in the group's current
// assignment. It needs neither the log nor other nodes, so it also works in a
// zone that is cut off from both.
//
// The age of a probe is measured from the time at which the probe was sent.
// After a suspension of the node, every probe is therefore too old.
//
// Permit can't rule out a pause of the node between the check and the send.
// Verify covers that case: the head of a response must come from the process,
// the model and the assignment for which the permit was issued.
package gate
