package journal

import (
	"context"
	"fmt"
	"net/http"

	"connectrpc.com/connect"

	"jaywind"
	"jaywind/internal/fleet/cbor"
)

const (
	keepPath   = "/fleet/journal/keep"
	recallPath = "/fleet/journal/recall"
)

// Client implements jaywind.Journal by calls to other routers.
type Client struct {
	HTTP *http.Client // adds the shared secret to each request
}

var _ jaywind.Journal = (*Client)(nil)

// Keep sends a batch of records to the router at an address and returns the requests whose
// preceding tokens are missing there.
func (c *Client) Keep(ctx context.Context, at jaywind.Address, records []jaywind.Record) ([]jaywind.RequestID, error) {
	request := keepRequest{}
	for _, r := range records {
		request.Records = append(request.Records, toWire(r))
	}
	client := connect.NewClient[keepRequest, keepResponse](c.HTTP, string(at)+keepPath, cbor.ClientOptions()...)
	response, err := client.CallUnary(ctx, connect.NewRequest(&request))
	if err != nil {
		return nil, fmt.Errorf("journal: keep: %w", err)
	}
	var missing []jaywind.RequestID
	for _, id := range response.Msg.Missing {
		missing = append(missing, jaywind.RequestID(id))
	}
	return missing, nil
}

// Recall returns the record of a request stored at the router at an address, or
// jaywind.ErrKeyNotFound.
func (c *Client) Recall(ctx context.Context, at jaywind.Address, id jaywind.RequestID) (jaywind.Record, error) {
	client := connect.NewClient[recallRequest, recallResponse](c.HTTP, string(at)+recallPath, cbor.ClientOptions()...)
	response, err := client.CallUnary(ctx, connect.NewRequest(&recallRequest{Request: string(id)}))
	if err != nil {
		return jaywind.Record{}, fmt.Errorf("journal: recall: %w", err)
	}
	if !response.Msg.Found {
		return jaywind.Record{}, jaywind.ErrKeyNotFound
	}
	return response.Msg.Record.decode(nil)
}

// Register adds the handlers for the calls of Client to m.
func Register(m *http.ServeMux, s *RecordStore) {
	m.Handle(keepPath, connect.NewUnaryHandler(keepPath, s.serveKeep, cbor.HandlerOptions()...))
	m.Handle(recallPath, connect.NewUnaryHandler(recallPath, s.serveRecall, cbor.HandlerOptions()...))
}

func (s *RecordStore) serveKeep(_ context.Context, r *connect.Request[keepRequest]) (*connect.Response[keepResponse], error) {
	missing, err := s.addEncoded(r.Msg.Records)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	response := keepResponse{}
	for _, id := range missing {
		response.Missing = append(response.Missing, string(id))
	}
	return connect.NewResponse(&response), nil
}

func (s *RecordStore) serveRecall(_ context.Context, r *connect.Request[recallRequest]) (*connect.Response[recallResponse], error) {
	record, err := s.Recall(jaywind.RequestID(r.Msg.Request))
	if err != nil {
		return connect.NewResponse(&recallResponse{}), nil
	}
	return connect.NewResponse(&recallResponse{Found: true, Record: toWire(record)}), nil
}
