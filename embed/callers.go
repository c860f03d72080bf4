package embed

import (
	"context"

	"go.uber.org/zap"

	"jaywind/internal/core/table"
)

// callers hands the output of the core to the answers that callers read.
type callers struct {
	router *Router
}

func (p *callers) run(context.Context) {}

func (p *callers) execute(_ context.Context, c table.Command) bool {
	switch c := c.(type) {
	case table.AttachListener:
		p.router.answers.join(c)
	case table.DeliverToken:
		p.router.answers.deliver(c)
	case table.FinishRequest:
		p.router.Log.Info("router: request ended", zap.String("request", string(c.Request)),
			zap.Uint64("attempt", uint64(c.Bookmark.Attempt)), zap.String("reason", c.Reason))
		p.router.answers.finish(c)
	default:
		return false
	}
	return true
}
