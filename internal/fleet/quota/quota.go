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

// Path is the HTTP path of the handler.
const Path = "/fleet/quota"

// demand is a jaywind.Demand on the wire, with the rate in thousandths of a request per second.
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

// Client implements jaywind.DemandExchanger by calls to other routers. A call ends with its context.
type Client struct {
	HTTP *http.Client // adds the shared secret to each request
}

var _ jaywind.DemandExchanger = (*Client)(nil)

// ExchangeDemands sends demands to the router at an address and returns the demands that it sees.
func (c *Client) ExchangeDemands(ctx context.Context, at jaywind.Address, from jaywind.VM, demands []jaywind.Demand) ([]jaywind.Demand, error) {
	client := connect.NewClient[demandsRequest, demandsResponse](c.HTTP, string(at)+Path, cbor.ClientOptions()...)
	response, err := client.CallUnary(ctx, connect.NewRequest(&demandsRequest{From: string(from), Demands: toWire(demands)}))
	if err != nil {
		return nil, fmt.Errorf("exchange demands with %s: %w", at, err)
	}
	return fromWire(response.Msg.Demands), nil
}

// demandHandler is the part of a router that the handler uses.
type demandHandler interface {
	HandleDemands(ctx context.Context, from jaywind.VM, demands []jaywind.Demand) ([]jaywind.Demand, error)
}

// NewHandler returns the handler for Path.
func NewHandler(r demandHandler) http.Handler {
	handle := func(ctx context.Context, req *connect.Request[demandsRequest]) (*connect.Response[demandsResponse], error) {
		own, err := r.HandleDemands(ctx, jaywind.VM(req.Msg.From), fromWire(req.Msg.Demands))
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return connect.NewResponse(&demandsResponse{Demands: toWire(own)}), nil
	}
	return connect.NewUnaryHandler(Path, handle, cbor.HandlerOptions()...)
}

// rateScale is the number of wire units in a rate of one request per second.
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
