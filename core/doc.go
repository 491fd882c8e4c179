// Package core defines the interfaces and the small value types that all other
// packages of kumquathinge share.
//
// Package core performs no I/O. The packages below it (kumquathinge/core/...)
// contain the decision logic: state machines whose inputs are typed events, the
// time and random numbers, and whose outputs are typed actions. Each package
// below kumquathinge/io communicates with one kind of remote process and
// implements the interfaces of this package. Package kumquathinge/node
// combines both in the daemon of an entry VM.
//
// Message types, which codecs fill, have exported fields. Types that hold the
// state of a state machine have unexported fields and accessors.
package core
