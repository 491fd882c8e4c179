// Package cold limits the requests to backend servers that have just started or come
// back, which tolerate few requests a second at first.
//
// Tracker derives from entries and events until when each server counts as cold.
// Shares gives each node a fixed part of the requests that a cold server tolerates. The
// part follows from the names of the registered nodes alone, so the sum over all nodes
// holds without any message between them.
package cold
