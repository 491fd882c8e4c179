// Package admit decides which requests run now, which wait and which are
// refused before they run.
//
// A Machine holds a bounded queue for each model. It is a state machine
// without clock, input or output: its owner passes the time with each event
// (Offer, Done, Cancel, Tick and the setters) and carries out the actions
// returned. Every offered item gets exactly one of Admit and Refuse, unless
// it is cancelled first.
//
// # Order
//
// Organisations share a model by start-time fair queueing (Goyal, Vin and
// Cheng, "Start-time Fair Queueing", SIGCOMM 1996): each organisation with
// waiting items has a tag that grows by work over weight with each admission,
// and the smallest tag goes first. The work is an estimate, which Done corrects
// in proportion to the tokens used. An organisation that used less than its
// share keeps up to Config.Credit of it, so that a burst of one that is within
// its share over time goes first. Priority orders the items of one
// organisation strictly, and their deadlines those of one priority. Between
// organisations it lets one go first until its tag leads the smallest by
// Config.Lead: priority buys order, not share.
//
// # Refusal
//
// An item is refused at once if its organisation's limit is used up, if the
// observed service rate says that it can't end before its deadline, or if the
// queue is full. A full queue drops from the organisation with the longest
// backlog for its weight (Suter, Lakshman, Stiliadis and Choudhury, "Design
// considerations for supporting TCP with per-flow queueing", INFOCOM 1998),
// so one organisation's flood doesn't take the others' places.
//
// Split and Share divide an organisation's limit between entry VMs.
package admit
