// Package front serves callers over HTTP.
//
// Completions and chat completions follow the request and response shapes of
// the OpenAI API, streamed and not streamed, so that its client libraries work
// unchanged. Plain services stand under the prefix /services/NAME/. A request
// with an Idempotency-Key must not be repeated and needs Idempotency-Issued,
// its issue time.
//
// A streamed answer numbers its events. A caller that lost the connection
// repeats the request with Last-Event-ID, at any entry VM, and gets the rest.
//
// The package turns HTTP requests into core.Job values and the parts of the
// answer into HTTP responses. It makes no decision about where a job runs.
package front
