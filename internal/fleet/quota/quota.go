package quota

import (
	"context"
	"fmt"
	"math"
	"net/http"

	"connectrpc.com/connect"

	"jaywind"
	"jaywind/internal/fleet/cbor"
)

// Path is where the handler is mounted.
const Path = "/fleet/quota"

// demand is a row on the wire; its rate is in thousandths of a request a second.
type demand struct {
	_            struct{} `cbor:",toarray"`
	Organisation string
	Rate         uint64
}

type demandsRequest struct {
	From    string   `cbor:"f"`
	Demands []demand `cbor:"d"`
}

type demandsResponse struct {
	Demands []demand `cbor:"d"`
}

// Client is the jaywind.Quota that calls other routers; calls end with their context.
type Client struct {
	HTTP *http.Client // carries the shared secret
}

var _ jaywind.Quota = (*Client)(nil)

// Tell hands demands to the router at an address and returns its own.
func (c *Client) Tell(ctx context.Context, at jaywind.Address, from jaywind.VM, demands []jaywind.Demand) ([]jaywind.Demand, error) {
	client := connect.NewClient[demandsRequest, demandsResponse](c.HTTP, string(at)+Path, cbor.ClientOptions()...)
	got, err := client.CallUnary(ctx, connect.NewRequest(&demandsRequest{From: string(from), Demands: toWire(demands)}))
	if err != nil {
		return nil, fmt.Errorf("tell demands to %s: %w", at, err)
	}
	return fromWire(got.Msg.Demands), nil
}

// demandHandler is what the handler needs of a demandHandler.
type demandHandler interface {
	TakeDemands(ctx context.Context, from jaywind.VM, demands []jaywind.Demand) ([]jaywind.Demand, error)
}

// NewHandler returns the handler of the path /fleet/quota.
func NewHandler(r demandHandler) http.Handler {
	take := func(ctx context.Context, q *connect.Request[demandsRequest]) (*connect.Response[demandsResponse], error) {
		own, err := r.TakeDemands(ctx, jaywind.VM(q.Msg.From), fromWire(q.Msg.Demands))
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return connect.NewResponse(&demandsResponse{Demands: toWire(own)}), nil
	}
	return connect.NewUnaryHandler(Path, take, cbor.HandlerOptions()...)
}

const rateScale = 1000

func toWire(demands []jaywind.Demand) []demand {
	var rows []demand
	for _, d := range demands {
		rate := uint64(math.Round(max(0, d.Rate) * rateScale))
		rows = append(rows, demand{Organisation: string(d.Organisation), Rate: rate})
	}
	return rows
}

func fromWire(rows []demand) []jaywind.Demand {
	var demands []jaywind.Demand
	for _, r := range rows {
		demands = append(demands, jaywind.Demand{Organisation: jaywind.Organisation(r.Organisation), Rate: float64(r.Rate) / rateScale})
	}
	return demands
}
