// Package trace replays recorded faults of backend servers with a repair
// policy, the replicated state and the dispatch gate, and measures for how long
// groups were unable to serve and how many VMs were idle in the meantime.
//
// A trace is a file of JSON lines. The first lines describe the VMs, the
// desired groups, the models and the weight store; the others are faults with
// their times. Time is simulated in steps of one second or more. Each zone has
// its own controller; all zones share the log and the weight store.
package trace
