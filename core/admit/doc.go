// Package admit implements admission control: it decides which requests run
// now, which wait and which are rejected before they run.
//
// A Controller holds a bounded queue for each model. It is a state machine
// without a clock and without I/O: its owner passes the time with each event
// (Offer, Done, Cancel, Tick and the setters) and carries out the returned
// actions. Every offered item gets exactly one Admit or Reject, unless it is
// cancelled first.
//
// # Order
//
// Organisations share a model by start-time fair queueing (Goyal, Vin and
// Cheng, "Start-time Fair Queueing", SIGCOMM 1996): the queue of each
// organisation has a start tag that grows by work divided by weight with each
// admission, and the queue with the smallest tag is served first. The work is
// an estimate, which Done corrects in proportion to the tokens used. An
// organisation that used less than its share keeps up to Config.IdleCredit of
// the rest, so that a burst of an organisation that stays within its share over
// time is served first.
//
// Within an organisation, items are ordered strictly by priority, and within a
// priority by deadline. Between organisations, a more urgent priority goes
// first as long as the start tag is at most Config.PriorityLead ahead of the
// smallest tag. Priority thus changes the order, but not the share.
//
// # Rejection
//
// An item is rejected immediately if its organisation's limit is used up, if
// the observed service rate implies that the item cannot finish before its
// deadline, or if the queue is full. A full queue evicts items of the
// organisation with the largest backlog relative to its weight (Suter,
// Lakshman, Stiliadis and Choudhury, "Design considerations for supporting TCP
// with per-flow queueing", INFOCOM 1998), so that an overload by one
// organisation does not displace the items of others.
//
// Split and Share divide an organisation's limit among entry VMs.
package admit
