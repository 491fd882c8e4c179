package peer

import "kumquathinge/core"

// Names of the procedures.
const (
	procExchange = "/kumquathinge.Peer/Exchange"
	procRelay    = "/kumquathinge.Peer/Relay"
	procState    = "/kumquathinge.Peer/State"
	procForward  = "/kumquathinge.Peer/Forward"
)

// keepAlivePos is the position of an empty part, which carries no answer.
const keepAlivePos = -1

// maxMessageBytes bounds a message in bytes.
const maxMessageBytes = 64 << 20

// RelayRequest asks for log entries.
type RelayRequest struct {
	From  core.Offset `cbor:"1,keyasint"`
	Limit int         `cbor:"2,keyasint"`
}

// StateRequest asks for the encoded state.
type StateRequest struct{}

// StateResponse carries the encoded state.
type StateResponse struct {
	Data []byte `cbor:"1,keyasint"`
}
