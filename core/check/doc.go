// Package check validates a configuration of the users' platform before it is sent,
// and compares it with another version.
//
// It works on a Document, in which each value carries its path and line in the file
// that it was read from. The package does no I/O and doesn't know the format of the
// file: package platform decodes files into documents.
package check
