package embed

import (
	"context"

	"github.com/rotisserie/eris"

	"jaywind"
	"jaywind/internal/core/table"
)

var errNoExchanger = eris.New("router has no demand exchanger")

// quota exchanges the demands of organisations with their other home routers.
type quota struct {
	router *Router
	calls  peerCalls[[]jaywind.Demand]
}

func (p *quota) run(context.Context) {}

func (p *quota) execute(ctx context.Context, c table.Command) bool {
	switch c := c.(type) {
	case table.SendDemands:
		p.router.group.Go(func() { p.exchangeAndPost(ctx, c) })
	case table.ReplyDemands:
		p.calls.reply(c.ReplyTo, c.Demands)
	default:
		return false
	}
	return true
}

func (p *quota) exchangeAndPost(ctx context.Context, c table.SendDemands) {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	demands, err := p.exchange(ctx, c)
	p.router.post(table.DemandsReplied{From: c.VM, Sent: c.Demands, Demands: demands, Err: err})
}

func (p *quota) exchange(ctx context.Context, c table.SendDemands) ([]jaywind.Demand, error) {
	if p.router.DemandExchanger == nil {
		return nil, errNoExchanger
	}
	return p.router.DemandExchanger.ExchangeDemands(ctx, c.Address, p.router.Self, c.Demands)
}

// HandleDemands handles the demands measured by another home router and returns those of this router.
func (r *Router) HandleDemands(ctx context.Context, from jaywind.VM, demands []jaywind.Demand) ([]jaywind.Demand, error) {
	r.init()
	return r.quota.calls.call(ctx, r, func(id uint64) table.Event {
		return table.DemandsReceived{ReplyTo: id, From: from, Demands: demands}
	})
}
