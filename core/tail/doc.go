// Package tail follows the platform's log: what to read next and from whom,
// when to take a whole state, how to append a proposal and when to say what
// became of it, who writes the next snapshot.
//
// A Follower is a pure state machine. Step takes an event and the time and
// returns the actions to perform; each action is answered by an event. The
// Follower owns the folded state, whose offset only grows.
//
// An append whose answer was lost is made again with the same record IDs; the
// fold drops the repeat. A proposal is answered as accepted or rejected only
// after the fold of a record that was read back, as refused only if no append
// of it can have taken effect, and else as unknown.
package tail
