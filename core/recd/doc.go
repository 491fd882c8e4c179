// Package recd defines the records that kumquathinge appends to the platform's
// log, and their encoding.
//
// One log entry contains one Batch. The entry's ID is the batch's ID; each
// record of the batch has its own ID, so that a batch may be appended again
// after a lost response: package fold rejects the duplicate records.
//
// A record is a proposal. Package fold decides whether it takes effect.
package recd
