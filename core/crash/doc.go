// Package crash detects the requests that crash backend servers and prevents
// them from crashing more. It is a state machine without I/O; time is an
// argument.
//
// A request is identified by a fingerprint of its content, so that a resend
// through another entry VM counts as the same request. All requests that were
// running on a group when the group was lost become suspects. A suspect runs
// next on a group without other suspects. Completion clears it, and a second
// crash quarantines it for a time. A request that crashes every server that
// runs it therefore takes down two groups, and the requests that ran beside it
// are cleared.
//
// A suspect that progresses past the point at which it was interrupted no
// longer keeps other suspects off its group, so that the other requests of a
// lost group don't wait for each other to complete. Only completion clears it.
//
// # Broken connections
//
// A connection breaks before the probes detect that a member is missing. A
// broken connection therefore counts as a crash until it is confirmed by the
// loss of the group or the confirmation timeout expires: a request with two
// unconfirmed breaks is not sent to a third group.
//
// # Simultaneous losses
//
// Groups that are lost in one report have a common external cause, such as
// their fabric domain, unless one request ran on all of them. Only such a
// request becomes a suspect.
//
// # Two suspects on one group
//
// Nodes have no information on where the suspects of their peers run. If two
// suspects run on one group and it is lost, a crash is counted for both,
// including the one that did not cause it. The suspects of a group should
// therefore come from a single node: the caller of the Tracker selects among
// the groups that are assigned to this node for suspects.
//
// # Exchange between nodes
//
// Each node exports the crashes that it observed itself and stores the exports
// of its peers separately, one list per peer. Decisions use the sum, so one
// crash at each of two nodes quarantines the request at both.
package crash
