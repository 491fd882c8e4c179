// Command replay measures the repair policy on fault traces.
//
// It replays every trace of a directory with the policy and with two baselines,
// which always wait or always rebuild immediately, for the weights of each
// deployment. It prints the downtime of the groups and the time for which VMs
// were stranded. With --generate it regenerates the traces.
package main
