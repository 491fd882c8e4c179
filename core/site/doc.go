// Package site holds the value types that describe a deployment as an entry VM
// sees it: the operators' configuration, the backend servers with their
// groups, the orders that servers take and the settings of a process.
//
// The types are decoded at the edge of the system and not changed after that.
// A View and a Table are built once from them and shared between tasks.
package site
