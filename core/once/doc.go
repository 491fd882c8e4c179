// Package once implements at-most-once execution of a request as a state
// machine that maps events to actions.
//
// Claims are decided by the platform's log. The node proposes a recd.Claim
// record. The earliest accepted claim of a key wins, and only the machine that
// created that record dispatches the request, once. A machine identifies its
// claim by the record ID, which is unique to the machine, so a restarted
// process never dispatches a claim of its previous incarnation. A claim whose
// append has an unknown outcome is valid only after it was read back from the
// log as accepted.
//
// # Outcomes
//
// The reply is recorded with recd.Result and returned to every resend of the
// request, through any node. A reply above the size limit is recorded as an
// unknown outcome with its status: a resend is informed that the request ran
// but never receives a truncated response. A dispatch with an unknown outcome
// is recorded as unknown. If the request definitely did not run, its claim is
// released with recd.Release, so that the key can be claimed again. If the
// machine finishes while the outcome of its claim's append is still unknown,
// the caller of the machine must release the claim (ActionAbandon).
//
// # Window
//
// Keys are retained for a window that starts at the issue time. A request
// issued before the window, less the maximum clock skew, is refused as not run,
// as is a request with an issue time in the future beyond that skew.
package once
