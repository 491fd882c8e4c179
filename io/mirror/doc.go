// Package mirror lets entry VMs read from each other what the platform's store
// holds, for a node that the store turns away or doesn't answer.
package mirror
