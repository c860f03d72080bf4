package embed

import (
	"context"

	"github.com/rotisserie/eris"

	"jaywind"
	"jaywind/internal/core/table"
)

var errAlone = eris.New("no way to other routers is set")

// quota carries the demands of organisations between their home routers.
type quota struct {
	router *Router
	asks   asks[[]jaywind.Demand]
}

func (p *quota) run(context.Context) {}

func (p *quota) execute(ctx context.Context, c table.Command) bool {
	switch c := c.(type) {
	case table.SendDemands:
		p.router.group.Go(func() { p.tell(ctx, c) })
	case table.ReplyDemands:
		p.asks.answer(c.ReplyTo, c.Demands)
	default:
		return false
	}
	return true
}

func (p *quota) tell(ctx context.Context, c table.SendDemands) {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	theirs, err := p.exchange(ctx, c)
	p.router.post(table.DemandsReplied{From: c.VM, Sent: c.Demands, Demands: theirs, Err: err})
}

func (p *quota) exchange(ctx context.Context, c table.SendDemands) ([]jaywind.Demand, error) {
	if p.router.Quota == nil {
		return nil, errAlone
	}
	return p.router.Quota.ExchangeDemands(ctx, c.Address, p.router.Self, c.Demands)
}

// TakeDemands takes the demands at another home router and returns those here.
func (r *Router) TakeDemands(ctx context.Context, from jaywind.VM, demands []jaywind.Demand) ([]jaywind.Demand, error) {
	r.init()
	return r.quota.asks.ask(ctx, r, func(ask uint64) table.Event {
		return table.DemandsReceived{ReplyTo: ask, From: from, Demands: demands}
	})
}
