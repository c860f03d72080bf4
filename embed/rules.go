package embed

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
	"jaywind/internal/platform/rules"
)

const rulesPause = 500 * time.Millisecond // after a failed read of the store

// SetRules puts rules in force if version is higher than the one in force.
func (r *Router) SetRules(version jaywind.RulesVersion, set *rule.Set) bool {
	r.init()
	return r.post(table.Ruled{Version: version, Set: set})
}

// rulebook follows the accepted rules in the store.
type rulebook struct {
	router *Router
}

func (p *rulebook) execute(context.Context, table.Command) bool { return false }

// run watches the store and posts each accepted set of rules.
func (p *rulebook) run(ctx context.Context) {
	r := p.router
	book := rules.Book{Store: r.Store}
	var last jaywind.Revision
	for ctx.Err() == nil {
		accepted, err := book.Watch(ctx, last)
		if err == nil {
			last = accepted.Revision
			r.Log.Info("rules: accepted set read", zap.Uint64("version", uint64(accepted.Version)))
			r.SetRules(accepted.Version, accepted.Set)
			continue
		}
		if !errors.Is(err, context.Canceled) {
			r.Log.Warn("rules: store not read", zap.Error(err))
		}
		pause(ctx, rulesPause)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
