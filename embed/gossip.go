package embed

import (
	"context"

	"jaywind"
	"jaywind/internal/core/table"
)

// gossip carries the messages of membership.
type gossip struct {
	router *Router
	asks   asks[jaywind.Gossip]
}

func (p *gossip) run(context.Context) {}

func (p *gossip) execute(ctx context.Context, c table.Command) bool {
	switch c := c.(type) {
	case table.SendGossip:
		p.router.group.Go(func() { p.tell(ctx, c) })
	case table.ReplyGossip:
		p.asks.answer(c.ReplyTo, c.Gossip)
	default:
		return false
	}
	return true
}

func (p *gossip) tell(ctx context.Context, c table.SendGossip) {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	g, err := p.router.Gossiper.Exchange(ctx, c.Address, c.Gossip)
	p.router.post(table.GossipReplied{Number: c.Number, Gossip: g, Err: err})
}

// Gossip answers a message of another router.
func (r *Router) Gossip(ctx context.Context, g jaywind.Gossip) (jaywind.Gossip, error) {
	r.init()
	return r.gossip.asks.ask(ctx, r, func(ask uint64) table.Event {
		return table.GossipReceived{ReplyTo: ask, Gossip: g}
	})
}
