package peer

import "kumquathinge/core"

// Names of the procedures.
const (
	procExchange = "/kumquathinge.Peer/Exchange"
	procRelay    = "/kumquathinge.Peer/Relay"
	procState    = "/kumquathinge.Peer/State"
	procForward  = "/kumquathinge.Peer/Forward"
)

// acceptedPos is the position of an empty part, which carries no answer.
const acceptedPos = -1

// maxMessageBytes bounds a message in bytes.
const maxMessageBytes = 64 << 20

// RelayAsk asks for log entries.
type RelayAsk struct {
	From core.Offset `cbor:"1,keyasint"`
	Max  int         `cbor:"2,keyasint"`
}

// StateAsk asks for the encoded state.
type StateAsk struct{}

// StateReply carries the encoded state.
type StateReply struct {
	Data []byte `cbor:"1,keyasint"`
}
