// Package mirror lets entry VMs read from each other what the platform's store
// holds: nodes that are told of changes by others and have missed some, and
// nodes that the store turns away or doesn't answer.
package mirror
