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

// Marshal encodes msg.
func (codec) Marshal(msg any) ([]byte, error) { return cbor.Marshal(msg) }

// Unmarshal decodes data into msg.
func (codec) Unmarshal(data []byte, msg any) error { return cbor.Unmarshal(data, msg) }
