// Package wire holds the HTTP/1.1 connections to one backend server.
//
// It uses the request and response codecs of fasthttp, but owns the
// connections: a client that repeats calls by itself, or that hides whether a
// byte of a request left, can't tell "did not run" from "outcome unknown".
// A Pool sends each request at most once. It takes another connection only if
// not a single byte was accepted by the first one.
//
// The errors of this package carry these codes:
//
//   - core.CodeDialFailed: surely no byte of the request left.
//   - core.CodeSilent: the server sent nothing for the silence bound.
//   - core.CodeCutAnswer: the response ended early, is malformed or exceeds
//     the size limit.
//   - core.CodeUnknownOutcome: the request may have left and no response came.
//
// A Pool is safe for concurrent use. Idle connections travel through a
// channel, so each connection has one owner at any time.
package wire
