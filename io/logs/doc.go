// Package logs implements core.Log, a client for the HTTP protocol of the
// platform's log service.
//
// The client never retries a call. An append whose response is lost is reported
// with core.CodeLogUnknown, and the caller decides whether to retry it.
package logs
