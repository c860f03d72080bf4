package cbor

import (
	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"
)

const (
	maxMessageBytes  = 4 << 20 // bytes of a message
	compressMinBytes = 1 << 62 // bytes below which a message is not compressed: never
)

// Codec encodes connect messages as CBOR.
type Codec struct{}

var _ connect.Codec = Codec{}

// Name returns the codec's name on the wire.
func (Codec) Name() string { return "cbor" }

// Marshal encodes a message.
func (Codec) Marshal(message any) ([]byte, error) { return cbor.Marshal(message) }

// Unmarshal decodes a message; unknown fields are ignored.
func (Codec) Unmarshal(data []byte, message any) error { return cbor.Unmarshal(data, message) }

// HandlerOptions returns the options of every handler between routers.
func HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCodec(Codec{}),
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(compressMinBytes),
	}
}

// ClientOptions returns the options of every client between routers.
func ClientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithCodec(Codec{}),
		connect.WithReadMaxBytes(maxMessageBytes),
	}
}
