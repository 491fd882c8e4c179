// Package serve runs requests. It drives the state machines of packages flight,
// once and crash and connects them, through interfaces, to backend servers, the
// claims in the log, and other zones.
//
// A request runs in the goroutine that calls Server.Run. The state that the
// requests of a node share (running jobs, suspects, the retry budget, active
// claims, ordering keys) is one value that is passed through a channel: the
// goroutine that received it owns it until it sends it back.
//
// # Order of checks
//
// The permit to dispatch (core.Gate.Permit) is obtained immediately before each
// send to a group, and the head of the response is verified against it
// (core.Gate.Verify) before any part is delivered. When a group is lost, its
// requests are cancelled and, if they may be retried, continue on other groups.
//
// # Requests that must not be repeated
//
// Such a request is forwarded to another zone only before it is claimed. Its
// caller receives the reply before the result is recorded; until then, a resend
// is rejected because the key is in progress. Recording continues after Run has
// returned, and Drain waits for it. A caller that cancels does not cancel the
// request.
//
// # Ordering keys
//
// Calls to a plain service with the same ordering key run one after another, in
// the order in which this node received them.
package serve
