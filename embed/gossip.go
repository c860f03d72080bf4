package embed

import (
	"context"
	"sync"

	"jaywind"
	"jaywind/internal/core/table"
)

// gossip carries the messages of membership.
type gossip struct {
	router *Router

	mu    sync.Mutex
	asks  map[uint64]chan jaywind.Gossip
	count uint64
}

func (p *gossip) run(context.Context) {}

func (p *gossip) execute(ctx context.Context, c table.Command) bool {
	switch c := c.(type) {
	case table.SendGossip:
		p.router.group.Go(func() { p.tell(ctx, c) })
	case table.ReplyGossip:
		p.answer(c)
	default:
		return false
	}
	return true
}

func (p *gossip) tell(ctx context.Context, c table.SendGossip) {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	g, err := p.router.Gossiper.Exchange(ctx, c.At, c.Gossip)
	p.router.post(table.GossipAnswered{Number: c.Number, Gossip: g, Err: err})
}

func (p *gossip) answer(c table.ReplyGossip) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if wait := p.asks[c.Ask]; wait != nil {
		wait <- c.Gossip
		delete(p.asks, c.Ask)
	}
}

// register returns a new number with the channel that its reply arrives on.
func (p *gossip) register() (uint64, chan jaywind.Gossip) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count++
	if p.asks == nil {
		p.asks = map[uint64]chan jaywind.Gossip{}
	}
	wait := make(chan jaywind.Gossip, 1)
	p.asks[p.count] = wait
	return p.count, wait
}

func (p *gossip) forget(ask uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.asks, ask)
}

// Gossip answers a message of another router.
func (r *Router) Gossip(ctx context.Context, g jaywind.Gossip) (jaywind.Gossip, error) {
	r.init()
	ask, wait := r.gossip.register()
	defer r.gossip.forget(ask)
	if !r.post(table.GossipAsked{Ask: ask, Gossip: g}) {
		return jaywind.Gossip{}, ErrStopped
	}
	select {
	case answer := <-wait:
		return answer, nil
	case <-r.stopped:
		return jaywind.Gossip{}, ErrStopped
	case <-ctx.Done():
		return jaywind.Gossip{}, ctx.Err()
	}
}
