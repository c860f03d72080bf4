package embed

import (
	"context"

	"jaywind/internal/core/table"
)

// loadPoller reads the load of endpoints when the core asks for it.
type loadPoller struct {
	router *Router
}

func (p *loadPoller) run(context.Context) {}

func (p *loadPoller) execute(ctx context.Context, c table.Command) bool {
	poll, ok := c.(table.PollLoad)
	if !ok {
		return false
	}
	p.router.group.Go(func() { p.poll(ctx, poll) })
	return true
}

func (p *loadPoller) poll(ctx context.Context, c table.PollLoad) {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	load, err := p.router.Engine.Load(ctx, c.Address)
	p.router.post(table.LoadReported{Endpoint: c.Endpoint, Load: load, Err: err})
}
