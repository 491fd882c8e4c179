// Package crash detects the requests that crash backend servers and prevents
// them from crashing more. Its trackers are state machines without I/O; time is
// an argument.
//
// # Whole requests
//
// A Tracker identifies a request by a fingerprint of its content, so that a
// resend through another entry VM counts as the same request. All requests that
// were running on a group when the group was lost become suspects. A suspect runs
// next on a group without other suspects. Completion clears it, and a second
// crash quarantines it for a time. A request that crashes every server that
// runs it therefore takes down two groups, and the requests that ran beside it
// are cleared.
//
// A suspect that progresses past the point at which it was interrupted no
// longer keeps other suspects off its group, so that the other requests of a
// lost group don't wait for each other to complete. Only completion clears it.
//
// # Parts of prompts
//
// Requests of which no two are alike may share a part on which servers crash. A
// PartTracker counts by the parts that requests share, and by the whole request
// as one more part. It needs no probes: a part is a candidate for a crash if the
// connection of its request ended with the server before its answer was beyond the
// point at which servers crash. Events that the server sent before that don't show
// that the request is sound. What the server had begun to answer without an
// event goes before what was waiting there.
//
//   - A success clears a part, at all nodes: the server answered beyond the point at
//     which servers crash.
//   - One crash makes a part without an earlier success a suspect. Its requests
//     wait until one of them, the trial, succeeds or crashes another server.
//   - Two crashes since the last success quarantine a part if nothing else can be
//     the cause of one of them, three do in any case. A part with an earlier
//     success, and a whole request, need three.
//   - A quarantine ends with one trial. Another crash begins one of twice the
//     length.
//
// # Broken connections
//
// A connection breaks before the probes detect that a member is missing. For a
// Tracker, a broken connection therefore counts as a crash until it is confirmed
// by the loss of the group or the confirmation timeout expires: a request with
// two unconfirmed breaks is not sent to a third group. For a PartTracker, data
// that the server sends later to any node shows that it had not ended.
//
// # Simultaneous losses
//
// Groups that are lost in one report have a common external cause, such as
// their fabric domain, unless one request ran on all of them. Only such a
// request becomes a suspect. For a PartTracker, servers of one domain that end at
// the same moment count once, and a part with an earlier success must have been
// on most of the servers that end together.
//
// # Two suspects on one group
//
// Nodes have no information on where the suspects of their peers run. If two
// suspects run on one group and it is lost, a crash is counted for both,
// including the one that did not cause it. The suspects of a group should
// therefore come from a single node: the caller of the Tracker selects among
// the groups that are assigned to this node for suspects. Nodes of a PartTracker
// take turns with the trials of a part and report them.
//
// # Exchange between nodes
//
// Each node exports the crashes that it observed itself and stores the exports
// of its peers separately, one list per peer. Decisions use the sum, so one
// crash at each of two nodes quarantines the request at both. A PartTracker also
// exports the successes of suspected parts and all quarantines that it holds, so
// that these outlive the node that saw the crashes.
//
// A report that does not hold all parts of a crash says so. Such a crash convicts
// no part by the exclusion of the others.
package crash
