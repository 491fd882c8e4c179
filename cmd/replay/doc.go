// Command replay measures the repair policy over recorded traces.
//
// It replays every trace of a directory under the policy and under two
// baselines, always wait and always rebuild at once, for each deployment's
// weights, and prints how long groups could not serve and how many VMs were
// idle meanwhile. With --generate it writes the traces anew.
package main
