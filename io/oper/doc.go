// Package oper serves the operators' interface over HTTP with JSON.
//
//	GET    /v1/settings?path=P[&explain=1]  values in force at P, with origins
//	PUT    /v1/settings                     set a key of a node
//	DELETE /v1/settings                     unset a key of a node
//	GET    /v1/settings/history?path=P      changes of one node
//	GET    /v1/audit?after=N&max=M          changes of all nodes and groups
//	GET    /v1/outcome?id=ID                what became of a change
//	GET    /v1/status                       all that follows in one answer
//	GET    /v1/groups, /v1/vms, /v1/nodes
//	POST   /v1/drain                        drain a VM, a group, an entry VM
//
// A change names the version of the node that it was made from, and has an ID
// that its operator may choose. It is answered as accepted only once the fold
// accepted it in the log's order. If the answer of the log was lost, the state
// is unknown, and GET /v1/outcome tells it by the ID later; to send the change
// again with the same ID is safe.
//
// Every answer that is not 2xx has a Failure as its body. docs/RESULT-CODES.md
// lists the codes.
package oper
