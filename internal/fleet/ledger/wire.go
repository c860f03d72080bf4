package ledger

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"connectrpc.com/connect"
	encoding "github.com/fxamacker/cbor/v2"

	"jaywind"
	"jaywind/internal/fleet/cbor"
	"jaywind/internal/provider/claims"
)

// Paths of the handlers.
const (
	Path         = "/fleet/ledger"
	replayPath   = "/fleet/ledger/replay"
	replayedPath = "/fleet/ledger/replayed"
)

// replayRequest are claims of one shard that may be missing.
type replayRequest struct {
	Shard  int
	Claims []*entry
}

// replayedNotice is a Replayed on the wire.
type replayedNotice struct {
	VM       string
	Era      int64
	Complete bool
}

type emptyResponse struct{}

// complete is the value of completeKey.
type complete struct {
	Era int64 `cbor:"1,keyasint"`
}

func encodeComplete(era jaywind.Era) ([]byte, error) {
	return encoding.Marshal(complete{Era: int64(era)})
}

func decodeComplete(value []byte) (jaywind.Era, error) {
	var c complete
	err := encoding.Unmarshal(value, &c)
	return jaywind.Era(c.Era), err
}

// entry is a claim on the wire. It is encoded under the names of its fields.
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

func toWire(c jaywind.Claim) *entry {
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

// NewHandler returns the handler for Path, which commits the claims that other routers send.
func NewHandler(c *Committer) http.Handler {
	serve := func(ctx context.Context, r *connect.Request[entry]) (*connect.Response[entry], error) {
		want := r.Msg.claim()
		if !r.Msg.isValid() {
			return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("want a claim with a known State and a Key"))
		}
		recorded, err := c.Commit(ctx, want)
		if err != nil {
			return nil, connect.NewError(codeOf(err), err)
		}
		return connect.NewResponse(toWire(recorded)), nil
	}
	return connect.NewUnaryHandler(Path, serve, cbor.HandlerOptions()...)
}

// Handle adds the handlers of claims that other routers replay to a mux.
func Handle(m *http.ServeMux, c *Committer, r *Recall) {
	replay := func(ctx context.Context, req *connect.Request[replayRequest]) (*connect.Response[emptyResponse], error) {
		var all []jaywind.Claim
		for _, e := range req.Msg.Claims {
			if !e.isValid() || claims.ShardOf(e.claim().ID()) != req.Msg.Shard {
				return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("want claims of the shard with a known State and a Key"))
			}
			all = append(all, e.claim())
		}
		if len(all) == 0 {
			return connect.NewResponse(&emptyResponse{}), nil
		}
		if err := c.Replay(ctx, req.Msg.Shard, all); err != nil {
			return nil, connect.NewError(codeOf(err), err)
		}
		return connect.NewResponse(&emptyResponse{}), nil
	}
	replayed := func(_ context.Context, req *connect.Request[replayedNotice]) (*connect.Response[emptyResponse], error) {
		r.Receive(Replayed{VM: jaywind.VM(req.Msg.VM), Era: jaywind.Era(req.Msg.Era), Complete: req.Msg.Complete})
		return connect.NewResponse(&emptyResponse{}), nil
	}
	m.Handle(replayPath, connect.NewUnaryHandler(replayPath, replay, cbor.HandlerOptions()...))
	m.Handle(replayedPath, connect.NewUnaryHandler(replayedPath, replayed, cbor.HandlerOptions()...))
}

// isValid reports whether there is a claim that has a key and a state that is known.
func (e *entry) isValid() bool {
	if e == nil {
		return false
	}
	s := jaywind.ClaimState(e.State)
	return s > jaywind.ClaimNone && s <= jaywind.ClaimUnknown && e.Key != ""
}

func codeOf(err error) connect.Code {
	if errors.Is(err, jaywind.ErrOutcomeUnknown) {
		return connect.CodeUnknown
	}
	return connect.CodeResourceExhausted
}

// Client implements jaywind.Ledger by calls to other routers.
type Client struct {
	HTTP connect.HTTPClient
}

var _ jaywind.Ledger = (*Client)(nil)

// Commit sends a claim to the router at an address. Errors wrap jaywind.ErrStoreUnavailable if
// that router reports that the claim was not recorded, and jaywind.ErrOutcomeUnknown otherwise.
func (c *Client) Commit(ctx context.Context, at jaywind.Address, claim jaywind.Claim) (jaywind.Claim, error) {
	client := connect.NewClient[entry, entry](c.HTTP, string(at)+Path, cbor.ClientOptions()...)
	response, err := client.CallUnary(ctx, connect.NewRequest(toWire(claim)))
	if err == nil {
		return response.Msg.claim(), nil
	}
	if connect.CodeOf(err) == connect.CodeResourceExhausted {
		return jaywind.Claim{}, fmt.Errorf("%w: %w", jaywind.ErrStoreUnavailable, err)
	}
	return jaywind.Claim{}, fmt.Errorf("%w: %w", jaywind.ErrOutcomeUnknown, err)
}

// Replay sends claims of one shard that may be missing to the router at an address.
func (c *Client) Replay(ctx context.Context, at jaywind.Address, shard int, replayed []jaywind.Claim) error {
	msg := &replayRequest{Shard: shard}
	for _, claim := range replayed {
		msg.Claims = append(msg.Claims, toWire(claim))
	}
	_, err := connect.NewClient[replayRequest, emptyResponse](c.HTTP, string(at)+replayPath, cbor.ClientOptions()...).CallUnary(ctx, connect.NewRequest(msg))
	return err
}

// Notify sends to the router at an address that this one has replayed its claims.
func (c *Client) Notify(ctx context.Context, at jaywind.Address, t Replayed) error {
	msg := &replayedNotice{VM: string(t.VM), Era: int64(t.Era), Complete: t.Complete}
	_, err := connect.NewClient[replayedNotice, emptyResponse](c.HTTP, string(at)+replayedPath, cbor.ClientOptions()...).CallUnary(ctx, connect.NewRequest(msg))
	return err
}
