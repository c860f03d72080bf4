package embed

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/table"
)

const (
	settleCall  = 3 * time.Second  // for one try to record a state
	settleLimit = 10 * time.Minute // for all tries
	settlePause = 30 * time.Second // between two tries at most
)

// Committer records claims of once-only calls and returns what is on record.
type Committer interface {
	// Commit wraps jaywind.ErrUnknown where the claim may be recorded all the same.
	Commit(ctx context.Context, c jaywind.Claim) (jaywind.Claim, error)
}

// claimant carries claims to the ledger.
type claimant struct {
	router *Router
}

func (p *claimant) run(context.Context) {}

func (p *claimant) execute(ctx context.Context, c table.Command) bool {
	switch c := c.(type) {
	case table.CommitClaim:
		p.router.group.Go(func() { p.commit(ctx, c) })
	case table.RecordClaim:
		p.router.group.Go(func() { p.settle(ctx, c.Claim) })
	default:
		return false
	}
	return true
}

func (p *claimant) commit(ctx context.Context, c table.CommitClaim) {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	recorded, err := p.record(ctx, c.Claim)
	if err != nil {
		p.router.Log.Warn("claims: not committed", zap.String("request", string(c.Request)), zap.Error(err))
	}
	p.router.post(table.CommitCompleted{Request: c.Request, Claim: recorded, Err: err})
}

func (p *claimant) record(ctx context.Context, c jaywind.Claim) (jaywind.Claim, error) {
	if p.router.Claims == nil {
		return jaywind.Claim{}, fmt.Errorf("%w: this router keeps no claims", jaywind.ErrStoreUnavailable)
	}
	return p.router.Claims.Commit(ctx, c)
}

// settle records a state until it is on record or the router stops; the last try outlives ctx.
func (p *claimant) settle(ctx context.Context, c jaywind.Claim) {
	pauses := backoff.NewExponentialBackOff()
	pauses.MaxInterval = settlePause
	try := func() (jaywind.Claim, error) {
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleCall)
		defer cancel()
		return p.record(limited, c)
	}
	_, err := backoff.Retry(ctx, try, backoff.WithBackOff(pauses), backoff.WithMaxElapsedTime(settleLimit))
	if err != nil {
		p.router.Log.Error("claims: state not recorded", zap.String("key", string(c.Key)),
			zap.Int("state", int(c.State)), zap.Error(err))
	}
}
