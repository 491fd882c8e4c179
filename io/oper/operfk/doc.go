// Package operfk implements an in-memory oper.Backend for tests of the operators'
// API and its clients. Methods inject faults of the log.
package operfk
