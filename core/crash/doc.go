// Package crash finds the requests that crash backend servers and keeps them
// from doing so again. It is a state machine without I/O: time is an argument.
//
// A request is known by its print, a fingerprint of its content, so that a
// resend through another entry VM is the same request. What was running on a
// group when the group was lost becomes suspect. A suspect runs next on a
// group with no other suspect; completion clears it, and a second crash
// quarantines it for a time. So a request that crashes every server that runs
// it takes down two groups, and the requests that ran beside it are cleared.
//
// A suspect that gets behind the point at which it broke lets other suspects
// onto its group, so that the other requests of a lost group don't wait for each
// other's ends. Only completion clears it.
//
// # Breaks
//
// A connection breaks before the probes tell that a member is missing. A break
// therefore counts like a crash for a short time, until the loss is confirmed
// or the time is over: a request is not sent to a third group while two breaks
// are open.
//
// # Losses at once
//
// Groups that are lost in one report share a cause outside of them, such as
// their fabric domain, unless one request ran on all of them. Only such a
// request becomes suspect.
//
// # Two suspects on one group
//
// Nodes don't know where their peers' suspects run. If two of them meet on one
// group and it is lost, both have another crash, the innocent one as well. So the
// suspects of a group should come from one node only: the caller of the book
// picks among the groups that are this node's for that purpose.
//
// # Sharing
//
// Each node exports the crashes that it saw itself and keeps what its peers
// export beside it, one list for each peer. The decision counts the sum, so
// one crash at each of two nodes quarantines at both.
package crash
