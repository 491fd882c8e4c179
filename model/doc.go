// Package model is a queueing model of a zone's backend servers, for
// experiments with admission and routing policies.
//
// A Zone holds groups with continuous batching: up to Slots requests run
// concurrently in a group, the others wait in FIFO order. A group prefills one
// prompt at a time; the duration is proportional to the prompt tokens that are
// not in its prefix cache. It then decodes all of its requests together; the
// time per token grows with the batch size. The cache holds a limited number of
// blocks with least-recently-used eviction. Load reports and cache events
// become visible after a delay, and some events are lost. A straggler is
// slower in all of this by a constant factor.
//
// A Zone is a discrete-event simulation without I/O: the time and the random
// numbers are inputs. The caller gets the time of the next event from Next and
// then calls Advance.
package model
