package embed

import (
	"context"

	"jaywind"
	"jaywind/internal/core/table"
)

// gossip sends gossip messages and replies to those of other routers.
type gossip struct {
	router *Router
	calls  peerCalls[jaywind.Gossip]
}

func (p *gossip) run(context.Context) {}

func (p *gossip) execute(ctx context.Context, c table.Command) bool {
	switch c := c.(type) {
	case table.SendGossip:
		p.router.group.Go(func() { p.exchange(ctx, c) })
	case table.ReplyGossip:
		p.calls.reply(c.ReplyTo, c.Gossip)
	default:
		return false
	}
	return true
}

func (p *gossip) exchange(ctx context.Context, c table.SendGossip) {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	g, err := p.router.Gossiper.Exchange(ctx, c.Address, c.Gossip)
	p.router.post(table.GossipReplied{Number: c.Number, Gossip: g, Err: err})
}

// Gossip handles a gossip message of another router and returns the reply.
func (r *Router) Gossip(ctx context.Context, g jaywind.Gossip) (jaywind.Gossip, error) {
	r.init()
	return r.gossip.calls.call(ctx, r, func(id uint64) table.Event {
		return table.GossipReceived{ReplyTo: id, Gossip: g}
	})
}
