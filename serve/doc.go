// Package serve runs requests: it joins the state machines of packages flight,
// once and crash with backend servers, claims and other zones, all of which it
// knows by interface.
//
// A request runs in the goroutine that calls Server.Run. What the requests of
// a node share (running requests, suspects, the retry budget, claims in
// progress, ordering keys) is one value that travels through a channel: who
// has received it owns it, and sends it back.
//
// # Order of checks
//
// The right to dispatch (core.Gate.Permit) is taken right before each send to a
// group, and the head of the answer is held against it (core.Gate.Verify)
// before any part is passed on. When a group is lost, its requests are cut and,
// if they may repeat, go on elsewhere.
//
// # Requests that must not be repeated
//
// Such a request is forwarded to another zone before it is claimed or not at
// all. Its caller gets the reply before the result is recorded; until then a
// resend learns that it is in progress. The recording goes on when Run has
// returned, and Drain waits for it. A caller that leaves does not cut it.
//
// # Ordering keys
//
// Calls of a plain service with the same ordering key run one after another,
// in the order in which they came to this node.
package serve
