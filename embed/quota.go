package embed

import (
	"context"

	"github.com/rotisserie/eris"

	"jaywind"
	"jaywind/internal/core/table"
)

var errNoExchanger = eris.New("no way to other routers is set")

// quota carries the demands of organisations between their home routers.
type quota struct {
	router *Router
	calls  peerCalls[[]jaywind.Demand]
}

func (p *quota) run(context.Context) {}

func (p *quota) execute(ctx context.Context, c table.Command) bool {
	switch c := c.(type) {
	case table.TellDemands:
		p.router.group.Go(func() { p.exchangeAndPost(ctx, c) })
	case table.ReplyDemands:
		p.calls.reply(c.Ask, c.Demands)
	default:
		return false
	}
	return true
}

func (p *quota) exchangeAndPost(ctx context.Context, c table.TellDemands) {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	theirs, err := p.exchange(ctx, c)
	p.router.post(table.DemandsAnswered{From: c.VM, Asked: c.Demands, Demands: theirs, Err: err})
}

func (p *quota) exchange(ctx context.Context, c table.TellDemands) ([]jaywind.Demand, error) {
	if p.router.Quota == nil {
		return nil, errNoExchanger
	}
	return p.router.Quota.Tell(ctx, c.At, p.router.Self, c.Demands)
}

// TakeDemands takes the demands at another home router and returns those here.
func (r *Router) TakeDemands(ctx context.Context, from jaywind.VM, demands []jaywind.Demand) ([]jaywind.Demand, error) {
	r.init()
	return r.quota.calls.call(ctx, r, func(ask uint64) table.Event {
		return table.DemandsTold{Ask: ask, From: from, Demands: demands}
	})
}
