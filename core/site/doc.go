// Package site defines the value types that describe a deployment to an entry
// VM: the operators' configuration, the backend servers and their groups, the
// orders sent to servers and the settings of a process.
//
// A group is a set of servers that serve one model together. The orderer is the
// entry VM that currently forms the groups by sending orders. A server's entry
// is its registration record in the store, which expires when the server loses
// contact with the store.
//
// Values are decoded at the system boundary and not modified afterwards. A View
// or a Table is built once from them and shared between goroutines.
package site
