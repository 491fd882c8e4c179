// Package logfk is an in-memory core.Log with faults, for tests.
//
// A Log is the service; each Client is one entry VM's connection to it and has
// faults of its own.
package logfk
