// Package flight is the life of one request over its attempts, as a state
// machine: events in, actions out. The caller of the machine owns the
// connections and the clock.
//
// # Outcomes
//
// Each attempt ends in one of three ways: done, surely not run, or unknown.
// From the action Dispatch on, an attempt counts as unknown; only a failed dial
// or the server's own refusal turns it into surely not run. A request ends as
// not run only if every one of its attempts surely did not run, and as unknown
// otherwise. The result codes say which: see core.Code.NotRun.
//
// # Attempts
//
// A request is sent again only if its Repeat allows it, before its deadline,
// within the limit of attempts, and if the node's Budget grants it. A request
// that must run at most once is dispatched at most once, whatever happened to
// that dispatch. An event of an attempt other than the current one is late and
// changes nothing.
//
// A stream that breaks after parts of it were passed on goes on at the next
// position with another attempt, at a group that runs the same model, version
// and adapters. Package flight passes on no position twice and leaves none out.
package flight
