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

// Client is the jaywind.Journal that speaks to other routers.
type Client struct {
	HTTP *http.Client // carries the shared secret
}

var _ jaywind.Journal = (*Client)(nil)

// Keep hands over a batch of records.
func (c *Client) Keep(ctx context.Context, at jaywind.Address, records []jaywind.Record) ([]jaywind.RequestID, error) {
	ask := keepAsk{}
	for _, r := range records {
		ask.Records = append(ask.Records, toWire(r))
	}
	call := connect.NewClient[keepAsk, keepAnswer](c.HTTP, string(at)+keepPath, cbor.ClientOptions()...)
	answer, err := call.CallUnary(ctx, connect.NewRequest(&ask))
	if err != nil {
		return nil, fmt.Errorf("journal: keep: %w", err)
	}
	var gaps []jaywind.RequestID
	for _, id := range answer.Msg.Gaps {
		gaps = append(gaps, jaywind.RequestID(id))
	}
	return gaps, nil
}

// Recall returns what a peer keeps of a request, or jaywind.ErrAbsent.
func (c *Client) Recall(ctx context.Context, at jaywind.Address, id jaywind.RequestID) (jaywind.Record, error) {
	call := connect.NewClient[recallAsk, recallAnswer](c.HTTP, string(at)+recallPath, cbor.ClientOptions()...)
	answer, err := call.CallUnary(ctx, connect.NewRequest(&recallAsk{Request: string(id)}))
	if err != nil {
		return jaywind.Record{}, fmt.Errorf("journal: recall: %w", err)
	}
	if !answer.Msg.Known {
		return jaywind.Record{}, jaywind.ErrKeyNotFound
	}
	return answer.Msg.Record.record(nil)
}

// Register adds the handlers for a book to the calls between routers.
func Register(m *http.ServeMux, b *Book) {
	m.Handle(keepPath, connect.NewUnaryHandler(keepPath, b.serveKeep, cbor.HandlerOptions()...))
	m.Handle(recallPath, connect.NewUnaryHandler(recallPath, b.serveRecall, cbor.HandlerOptions()...))
}

func (b *Book) serveKeep(_ context.Context, r *connect.Request[keepAsk]) (*connect.Response[keepAnswer], error) {
	gaps, err := b.accept(r.Msg.Records)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	answer := keepAnswer{}
	for _, id := range gaps {
		answer.Gaps = append(answer.Gaps, string(id))
	}
	return connect.NewResponse(&answer), nil
}

func (b *Book) serveRecall(_ context.Context, r *connect.Request[recallAsk]) (*connect.Response[recallAnswer], error) {
	record, err := b.Recall(jaywind.RequestID(r.Msg.Request))
	if err != nil {
		return connect.NewResponse(&recallAnswer{}), nil
	}
	return connect.NewResponse(&recallAnswer{Known: true, Record: toWire(record)}), nil
}
