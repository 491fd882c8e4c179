// Package press is an open-loop load generator. It sends completion requests at a
// constant rate to an entry VM, or directly to a model engine, and measures the
// latency of the first token, between tokens and of the complete response.
//
// Requests start at their scheduled times whether or not earlier ones have
// completed, and latencies count from the scheduled time, so that queueing at a
// slow server is included (no coordinated omission). A response is complete only
// if it ends with its end marker.
package press
