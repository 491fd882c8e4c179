// Package fold implements the replicated state machine that turns the
// platform's log into the state that all nodes share: settings, assignments,
// claims and the audit trail.
//
// Every node applies the same entries in the same order, so the state at an
// offset is the same on every node. A record is only a proposal: Apply accepts
// or rejects it by the state that the preceding records produced, whoever
// wrote it, so that concurrent writers need no leader. The state machine reads
// no clock; its time is that of the entries.
//
// A batch of a newer record version, or a record that enables a rule that this
// program does not support, stops the state machine before the entry: a
// program that would apply an entry differently from a newer one must not
// apply it.
package fold
