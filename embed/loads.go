package embed

import (
	"context"

	"jaywind/internal/core/table"
)

// loads reads the load reports that the core asks for.
type loads struct {
	router *Router
}

func (p *loads) run(context.Context) {}

func (p *loads) execute(ctx context.Context, c table.Command) bool {
	poll, ok := c.(table.PollLoad)
	if !ok {
		return false
	}
	p.router.group.Go(func() { p.read(ctx, poll) })
	return true
}

func (p *loads) read(ctx context.Context, c table.PollLoad) {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	load, err := p.router.Engine.Load(ctx, c.Address)
	p.router.post(table.LoadReported{Endpoint: c.Endpoint, Load: load, Err: err})
}
