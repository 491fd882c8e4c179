package peer

import (
	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"
)

// codecName is the subtype in the content type of the messages.
const codecName = "cbor"

// codec encodes messages in CBOR.
type codec struct{}

var _ connect.Codec = codec{}

// Name implements connect.Codec.
func (codec) Name() string { return codecName }

// encMode encodes times with nanoseconds: all nodes must compute the same state
// from a log entry, whether it was relayed or read from the log.
var encMode = mustEncMode()

// mustEncMode returns the encoding mode of messages. It panics if the options
// are invalid.
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

// Codec returns the codec for messages between entry VMs.
func Codec() connect.Codec { return codec{} }
