// Package fold holds the one function that turns the platform's log into the
// state that all nodes share: settings, assignments, claims and the audit
// trail.
//
// Every node folds the same entries in the same order, so the state at an
// offset is the same everywhere. A record is only a proposal: Apply accepts or
// rejects it by the state that the records before it made, whoever wrote it,
// so that racing writers need no leader. The only time that the fold knows is
// that of the entries.
//
// A batch of a newer record version, or a record that turns on a rule that
// this program does not know, stops the fold before the entry: a program that
// would fold an entry in another way than its successor does not fold it.
package fold
