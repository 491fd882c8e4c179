// Package mirror lets entry VMs read the contents of the platform's store from
// each other. It serves nodes that receive changes from other nodes and have
// missed some, and nodes whose requests the store rejects or does not answer.
package mirror
