package cbor

import (
	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"
)

const (
	maxMessageBytes  = 4 << 20 // per received message
	compressMinBytes = 1 << 62 // larger than any message, so that none is compressed
)

// Codec encodes connect messages as CBOR.
type Codec struct{}

var _ connect.Codec = Codec{}

// Name returns the name of the codec, which the content type carries on the wire.
func (Codec) Name() string { return "cbor" }

// Marshal encodes a message.
func (Codec) Marshal(message any) ([]byte, error) { return cbor.Marshal(message) }

// Unmarshal decodes a message; unknown fields are ignored.
func (Codec) Unmarshal(data []byte, message any) error { return cbor.Unmarshal(data, message) }

// HandlerOptions returns the options for the handlers of calls between routers.
func HandlerOptions() []connect.HandlerOption {
	return []connect.HandlerOption{
		connect.WithCodec(Codec{}),
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithCompressMinBytes(compressMinBytes),
	}
}

// ClientOptions returns the options for the clients of calls between routers.
func ClientOptions() []connect.ClientOption {
	return []connect.ClientOption{
		connect.WithCodec(Codec{}),
		connect.WithReadMaxBytes(maxMessageBytes),
	}
}
