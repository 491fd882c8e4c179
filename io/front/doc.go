// Package front is the HTTP server for clients.
//
// Completions and chat completions use the request and response formats of the
// OpenAI API, streamed and not streamed, so that its client libraries work
// unchanged. Plain services, which do not run a model, are served under
// /services/NAME/. A request with an Idempotency-Key runs at most once; its
// Idempotency-Issued header must hold the time at which the key was issued.
//
// The events of a streamed response are numbered. A client that lost the
// connection resends the request with Last-Event-ID, to any entry VM, and
// receives the remaining events.
//
// The package converts HTTP requests to core.Job values and response parts to
// HTTP responses. It does not choose where a job runs.
package front
