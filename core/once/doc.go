// Package once runs a request that must not be repeated, as a state machine:
// events in, actions out.
//
// The platform's log decides. The node proposes a record recd.Claim; the
// earliest accepted claim of a key wins, and only the machine that made that
// very record dispatches, once. A machine recognises its claim by the record's
// ID, which is new for each machine, so a process that restarts never
// dispatches what its predecessor claimed. A claim whose append has an unknown
// outcome counts only once it was read back as accepted.
//
// # Outcomes
//
// The reply is recorded with recd.Result, and a resend through any node gets
// it. A reply above the size limit is recorded as unknown with its status: a
// resend learns that the request ran, but never gets a part of an answer. A
// dispatch whose outcome is unknown is recorded as unknown. A request that
// surely did not run has its claim released with recd.Release, so that its key
// can be claimed again. A claim that was given up while its append was still
// open is left to the caller of the machine to release (ActionAbandon).
//
// # Window
//
// Keys are kept for a window that counts from the issue time. A request issued
// before the window, less the clock error that is allowed for, is refused as
// not run, as is one from the future.
package once
