package evidence

import (
	"context"
	"fmt"
	"net/http"

	"connectrpc.com/connect"

	"jaywind"
	"jaywind/internal/fleet/cbor"
)

// Path is where the handler is mounted.
const Path = "/fleet/evidence"

// reportRequest is a note as it is sent.
type reportRequest struct {
	Kind  string `cbor:"1,keyasint"`
	Key   string `cbor:"2,keyasint"`
	Value []byte `cbor:"3,keyasint"`
}

// reportResponse is the note that answers a report; it has no kind when there is none.
type reportResponse struct {
	Kind  string `cbor:"1,keyasint,omitempty"`
	Key   string `cbor:"2,keyasint,omitempty"`
	Value []byte `cbor:"3,keyasint,omitempty"`
}

// Client is the jaywind.Reporter that calls other routers; calls end with their context.
type Client struct {
	HTTP *http.Client // carries the shared secret
}

var _ jaywind.Reporter = (*Client)(nil)

// Report hands a note to the router at an address and returns its answer.
func (c *Client) Report(ctx context.Context, at jaywind.Address, n jaywind.Note) (jaywind.Note, error) {
	client := connect.NewClient[reportRequest, reportResponse](c.HTTP, string(at)+Path, cbor.ClientOptions()...)
	a, err := client.CallUnary(ctx, connect.NewRequest(&reportRequest{Kind: n.Kind, Key: n.Key, Value: n.Value}))
	if err != nil {
		return jaywind.Note{}, fmt.Errorf("report to %s: %w", at, err)
	}
	return jaywind.Note{Kind: a.Msg.Kind, Key: a.Msg.Key, Value: a.Msg.Value}, nil
}

// reportHandler is what the handler needs of a reportHandler.
type reportHandler interface {
	TakeReport(n jaywind.Note) (jaywind.Note, error)
}

// NewHandler returns the handler of the path /fleet/evidence.
func NewHandler(r reportHandler) http.Handler {
	take := func(_ context.Context, q *connect.Request[reportRequest]) (*connect.Response[reportResponse], error) {
		n := jaywind.Note{Kind: q.Msg.Kind, Key: q.Msg.Key, Value: q.Msg.Value}
		a, err := r.TakeReport(n)
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		return connect.NewResponse(&reportResponse{Kind: a.Kind, Key: a.Key, Value: a.Value}), nil
	}
	return connect.NewUnaryHandler(Path, take, cbor.HandlerOptions()...)
}
