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

type told struct {
	From    string   `cbor:"f"`
	Demands []demand `cbor:"d"`
}

type answer struct {
	Demands []demand `cbor:"d"`
}

// Client is the jaywind.Quota that calls other routers; calls end with their context.
type Client struct {
	HTTP *http.Client // carries the shared secret
}

var _ jaywind.DemandExchanger = (*Client)(nil)

// ExchangeDemands hands demands to the router at an address and returns its own.
func (c *Client) ExchangeDemands(ctx context.Context, at jaywind.Address, from jaywind.VM, demands []jaywind.Demand) ([]jaywind.Demand, error) {
	client := connect.NewClient[told, answer](c.HTTP, string(at)+Path, cbor.ClientOptions()...)
	got, err := client.CallUnary(ctx, connect.NewRequest(&told{From: string(from), Demands: rowsOf(demands)}))
	if err != nil {
		return nil, fmt.Errorf("tell demands to %s: %w", at, err)
	}
	return demandsOf(got.Msg.Demands), nil
}

// router is what the handler needs of a router.
type router interface {
	TakeDemands(ctx context.Context, from jaywind.VM, demands []jaywind.Demand) ([]jaywind.Demand, error)
}

// NewHandler returns the handler of the path /fleet/quota.
func NewHandler(r router) http.Handler {
	take := func(ctx context.Context, q *connect.Request[told]) (*connect.Response[answer], error) {
		own, err := r.TakeDemands(ctx, jaywind.VM(q.Msg.From), demandsOf(q.Msg.Demands))
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return connect.NewResponse(&answer{Demands: rowsOf(own)}), nil
	}
	return connect.NewUnaryHandler(Path, take, cbor.HandlerOptions()...)
}

const milli = 1000

func rowsOf(demands []jaywind.Demand) []demand {
	var rows []demand
	for _, d := range demands {
		rate := uint64(math.Round(max(0, d.Rate) * milli))
		rows = append(rows, demand{Organisation: string(d.Organisation), Rate: rate})
	}
	return rows
}

func demandsOf(rows []demand) []jaywind.Demand {
	var demands []jaywind.Demand
	for _, r := range rows {
		demands = append(demands, jaywind.Demand{Organisation: jaywind.Organisation(r.Organisation), Rate: float64(r.Rate) / milli})
	}
	return demands
}
