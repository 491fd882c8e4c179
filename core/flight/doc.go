// Package flight implements the lifecycle of one request over its attempts as a
// state machine that maps events to actions. The caller of the machine owns the
// connections and the clock.
//
// # Outcomes
//
// An attempt ends in one of three ways: done, not run, or unknown. From
// ActionDispatch or ActionForward on, an attempt counts as unknown. It becomes
// not run only if the dial failed or the server refused the request. A request
// that fails ends as not run only if none of its attempts can have run, and as
// unknown otherwise. The result code states which; see core.Code.NotRun.
//
// # Attempts
//
// A request is retried only if its RetryPolicy allows it, before its deadline,
// within the maximum number of attempts, and if the node's RetryBudget grants
// it. A request that must run at most once is dispatched at most once,
// regardless of the result of that dispatch. Events of attempts other than the
// current one are late and are ignored.
//
// If a stream breaks after parts of it were delivered, another attempt resumes
// it at the next position, at a group that runs the same model, version and
// adapters. No position is delivered twice or skipped.
package flight
