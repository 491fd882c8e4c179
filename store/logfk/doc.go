// Package logfk is an in-memory core.Log with fault injection, for tests.
//
// A Log is the log service. Each Client is the connection of one entry VM to it
// and has its own faults.
package logfk
