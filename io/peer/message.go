package peer

import "kumquathinge/core"

// Paths of the procedures.
const (
	procExchange = "/kumquathinge.Peer/Exchange"
	procRelay    = "/kumquathinge.Peer/Relay"
	procState    = "/kumquathinge.Peer/State"
	procForward  = "/kumquathinge.Peer/Forward"
)

// keepAlivePos is the position of an empty part, which is not part of the
// response.
const keepAlivePos = -1

// maxMessageBytes is the maximum size of a received message.
const maxMessageBytes = 64 << 20

// RelayRequest requests at most Limit log entries from offset From.
type RelayRequest struct {
	From  core.Offset `cbor:"1,keyasint"`
	Limit int         `cbor:"2,keyasint"`
}

// StateRequest requests the encoded state.
type StateRequest struct{}

// StateResponse holds the encoded state and the era that it was read in.
type StateResponse struct {
	Data []byte   `cbor:"1,keyasint"`
	Era  core.Era `cbor:"2,keyasint,omitempty"`
}
