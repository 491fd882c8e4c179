// Package recd defines the records that kumquathinge appends to the
// platform's log and their encoding.
//
// One log entry holds one Batch. The entry's ID is the batch's ID; each record
// of the batch has an ID of its own, so that a batch may be appended twice
// after a lost answer and the fold drops the repeats.
//
// A record is a proposal. Package fold decides whether it takes effect.
package recd
