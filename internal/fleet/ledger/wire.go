package ledger

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"connectrpc.com/connect"

	"jaywind"
	"jaywind/internal/fleet/cbor"
)

// Path is where routers take claims from each other.
const Path = "/fleet/ledger"

// entry is a claim on the wire.
type entry struct {
	Organisation string
	Service      string
	Key          string
	Body         uint64
	Nonce        uint64
	State        int
	Status       int
	Header       http.Header
	Reply        []byte
}

func entryOf(c jaywind.Claim) *entry {
	return &entry{
		Organisation: string(c.Organisation),
		Service:      string(c.Service),
		Key:          string(c.Key),
		Body:         uint64(c.Body),
		Nonce:        uint64(c.Nonce),
		State:        int(c.State),
		Status:       c.Reply.Status,
		Header:       c.Reply.Header,
		Reply:        c.Reply.Body,
	}
}

func (e *entry) claim() jaywind.Claim {
	return jaywind.Claim{
		Organisation: jaywind.Organisation(e.Organisation),
		Service:      jaywind.ServiceName(e.Service),
		Key:          jaywind.IdempotencyKey(e.Key),
		Body:         jaywind.Digest(e.Body),
		Nonce:        jaywind.Nonce(e.Nonce),
		State:        jaywind.ClaimState(e.State),
		Reply:        jaywind.Reply{Status: e.Status, Header: e.Header, Body: e.Reply},
	}
}

// NewHandler serves Path with the claims that other routers hand over.
func NewHandler(c *Committer) http.Handler {
	serve := func(ctx context.Context, r *connect.Request[entry]) (*connect.Response[entry], error) {
		want := r.Msg.claim()
		if want.State <= jaywind.ClaimNone || want.State > jaywind.ClaimUnknown || want.Key == "" {
			return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("want a claim with a known State and a Key"))
		}
		recorded, err := c.Commit(ctx, want)
		if err != nil {
			return nil, connect.NewError(codeOf(err), err)
		}
		return connect.NewResponse(entryOf(recorded)), nil
	}
	return connect.NewUnaryHandler(Path, serve, cbor.HandlerOptions()...)
}

func codeOf(err error) connect.Code {
	if errors.Is(err, jaywind.ErrOutcomeUnknown) {
		return connect.CodeUnknown
	}
	return connect.CodeResourceExhausted
}

// Client is the jaywind.Ledger that speaks to other routers.
type Client struct {
	HTTP connect.HTTPClient
}

var _ jaywind.Ledger = (*Client)(nil)

// Commit hands a claim to the router at an address; errors wrap jaywind.ErrUnavailable
// where that router said that the store did not take it, and jaywind.ErrUnknown otherwise.
func (c *Client) Commit(ctx context.Context, at jaywind.Address, claim jaywind.Claim) (jaywind.Claim, error) {
	client := connect.NewClient[entry, entry](c.HTTP, string(at)+Path, cbor.ClientOptions()...)
	response, err := client.CallUnary(ctx, connect.NewRequest(entryOf(claim)))
	if err == nil {
		return response.Msg.claim(), nil
	}
	if connect.CodeOf(err) == connect.CodeResourceExhausted {
		return jaywind.Claim{}, fmt.Errorf("%w: %w", jaywind.ErrStoreUnavailable, err)
	}
	return jaywind.Claim{}, fmt.Errorf("%w: %w", jaywind.ErrOutcomeUnknown, err)
}
