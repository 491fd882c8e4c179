// Package trace replays recorded faults of backend servers against the repair
// policy, the fold and the gate, and measures how long groups could not serve
// and how many VMs were idle meanwhile.
//
// A trace is a file of JSON lines. The first lines name the VMs, the wanted
// groups, the models and the weight store; the others are timestamped faults.
// Time is simulated in steps of one second. Each zone has one controller, all
// zones share the log and the weight store.
package trace
