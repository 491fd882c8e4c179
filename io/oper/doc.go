// Package oper serves the operators' interface over HTTP with JSON.
//
//	GET    /v1/settings?path=P[&explain=1]  values in force at P, with origins
//	PUT    /v1/settings                     set a key of a node
//	DELETE /v1/settings                     unset a key of a node
//	GET    /v1/settings/history?path=P      changes of one node
//	GET    /v1/audit?after=N&max=M          changes of all nodes and groups
//	GET    /v1/outcome?id=ID                outcome of a change
//	GET    /v1/status                       groups, VMs, nodes, log and quarantine
//	GET    /v1/groups, /v1/vms, /v1/nodes
//	POST   /v1/drain                        start or end the drain of a VM, group or entry VM
//	POST   /v1/rules                        turn on a rule of the fold
//
// A change states the version of the settings node that it is based on, and has
// an ID that its operator may choose. It is reported as accepted only after the
// fold accepted it in log order. If the log's response was lost, the outcome is
// unknown, and GET /v1/outcome returns it later by the ID. A change may be
// resent with the same ID: it takes effect at most once.
//
// Every response with a status other than 2xx has a Failure as its body.
// docs/RESULT-CODES.md lists the codes.
package oper
