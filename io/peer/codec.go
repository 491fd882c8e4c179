package peer

import (
	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"
)

// codecName is the content subtype of the messages.
const codecName = "cbor"

// codec encodes messages in CBOR.
type codec struct{}

var _ connect.Codec = codec{}

// Name returns the content subtype.
func (codec) Name() string { return codecName }

// encMode keeps times to the nanosecond: the fold of a relayed entry depends
// on them.
var encMode = mustEncMode()

// mustEncMode returns the encoding of messages.
func mustEncMode() cbor.EncMode {
	enc, err := cbor.EncOptions{Time: cbor.TimeRFC3339NanoUTC}.EncMode()
	if err != nil {
		panic(err)
	}
	return enc
}

// Marshal encodes msg.
func (codec) Marshal(msg any) ([]byte, error) { return encMode.Marshal(msg) }

// Unmarshal decodes data into msg.
func (codec) Unmarshal(data []byte, msg any) error { return cbor.Unmarshal(data, msg) }

// Codec returns the encoding of messages between entry VMs.
func Codec() connect.Codec { return codec{} }
