// Package core holds the interfaces and the small value types that every
// other package of kumquathinge shares.
//
// Package core does no input or output. The packages below it
// (kumquathinge/core/...) are decision logic: state machines that take typed
// events, the time and randomness as input and return typed actions. The
// packages below kumquathinge/io talk to one peer each and implement the
// interfaces of this package. Package kumquathinge/node joins both in the
// daemon of an entry VM.
//
// Messages, which a codec fills, have exported fields. State that a state
// machine owns has unexported fields with accessors.
package core
