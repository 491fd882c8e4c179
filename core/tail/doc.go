// Package tail follows the platform's log. It decides what to read next and
// from whom, when to fetch a complete state, how to append a proposal and when
// its result is known, and which node writes the next snapshot.
//
// A Follower is a pure state machine. Step takes an event and the time and
// returns the actions to perform; the result of each action is passed back as
// an event. The Follower owns the state of package fold, whose offset only
// grows within an era of the log. When the log comes back from an older copy, which
// begins another era, the Follower reads it from the beginning and serves the state
// of the earlier era until it has caught up. Positions are ordered by era, then
// offset: what a peer or the log states of an earlier era is ignored. A log that
// states no era stays in era zero.
//
// An append whose response was lost is repeated with the same record IDs;
// package fold rejects the duplicates. A proposal ends as accepted or rejected
// only after its records were read back and applied, as refused only if no
// append of it can have taken effect, and as unknown otherwise.
package tail
