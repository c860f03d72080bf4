package evidence

import (
	"context"
	"fmt"
	"net/http"

	"connectrpc.com/connect"

	"jaywind"
	"jaywind/internal/fleet/cbor"
)

// Path is the HTTP path of the handler.
const Path = "/fleet/evidence"

// reportRequest is a note with a report on the wire.
type reportRequest struct {
	Kind  string `cbor:"1,keyasint"`
	Key   string `cbor:"2,keyasint"`
	Value []byte `cbor:"3,keyasint"`
}

// reportResponse is the note in the reply; Kind is empty if there is none.
type reportResponse struct {
	Kind  string `cbor:"1,keyasint,omitempty"`
	Key   string `cbor:"2,keyasint,omitempty"`
	Value []byte `cbor:"3,keyasint,omitempty"`
}

// Client implements jaywind.Reporter by calls to other routers. A call ends with its context.
type Client struct {
	HTTP *http.Client // adds the shared secret to each request
}

var _ jaywind.Reporter = (*Client)(nil)

// Report sends a report to the router at an address and returns the note in its reply.
func (c *Client) Report(ctx context.Context, at jaywind.Address, n jaywind.Note) (jaywind.Note, error) {
	client := connect.NewClient[reportRequest, reportResponse](c.HTTP, string(at)+Path, cbor.ClientOptions()...)
	reply, err := client.CallUnary(ctx, connect.NewRequest(&reportRequest{Kind: n.Kind, Key: n.Key, Value: n.Value}))
	if err != nil {
		return jaywind.Note{}, fmt.Errorf("report to %s: %w", at, err)
	}
	return jaywind.Note{Kind: reply.Msg.Kind, Key: reply.Msg.Key, Value: reply.Msg.Value}, nil
}

// reportHandler is the part of a router that the handler uses.
type reportHandler interface {
	HandleReport(n jaywind.Note) (jaywind.Note, error)
}

// NewHandler returns the handler for Path.
func NewHandler(r reportHandler) http.Handler {
	handle := func(_ context.Context, req *connect.Request[reportRequest]) (*connect.Response[reportResponse], error) {
		n := jaywind.Note{Kind: req.Msg.Kind, Key: req.Msg.Key, Value: req.Msg.Value}
		reply, err := r.HandleReport(n)
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		return connect.NewResponse(&reportResponse{Kind: reply.Kind, Key: reply.Key, Value: reply.Value}), nil
	}
	return connect.NewUnaryHandler(Path, handle, cbor.HandlerOptions()...)
}
