// Package wire implements an HTTP/1.1 client with a connection pool for each
// backend server.
//
// It uses the request and response codecs of fasthttp but manages the
// connections itself, and rejects headers that the codec accepts although RFC 9112
// does not allow them. A client that retries by itself, or that hides whether
// any byte of a request was sent, cannot distinguish "not executed" from
// "outcome unknown". A Pool sends each request at most once: it tries a second
// connection only if the kernel accepted no byte of the request on the first.
//
// The errors of this package have these codes:
//
//   - core.CodeDialFailed: no byte of the request was sent.
//   - core.CodeSilent: a read or write exceeded the I/O timeout, or the context
//     was cancelled with this code as its cause.
//   - core.CodeCutAnswer: the response is truncated, malformed or exceeds the
//     size limit.
//   - core.CodeUnknownOutcome: the request may have been sent, and no response
//     was received.
//
// A Pool is safe for concurrent use. Idle connections are passed through a
// channel, so each connection has a single owner at any time.
package wire
