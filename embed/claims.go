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
	recordTimeout     = 3 * time.Second  // for one try to record a state
	recordMaxElapsed  = 10 * time.Minute // for all tries
	recordMaxInterval = 30 * time.Second // between two tries at most
)

// ClaimCommitter records claims of once-only calls and returns what is on record.
type ClaimCommitter interface {
	// Commit wraps jaywind.ErrUnknown where the claim may be recorded all the same.
	Commit(ctx context.Context, c jaywind.Claim) (jaywind.Claim, error)
}

// claimRecorder carries claims to the ledger.
type claimRecorder struct {
	router *Router
}

func (p *claimRecorder) run(context.Context) {}

func (p *claimRecorder) execute(ctx context.Context, c table.Command) bool {
	switch c := c.(type) {
	case table.Commit:
		p.router.group.Go(func() { p.commit(ctx, c) })
	case table.Settle:
		p.router.group.Go(func() { p.recordWithRetry(ctx, c.Claim) })
	default:
		return false
	}
	return true
}

func (p *claimRecorder) commit(ctx context.Context, c table.Commit) {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	recorded, err := p.record(ctx, c.Claim)
	if err != nil {
		p.router.Log.Warn("claims: not committed", zap.String("request", string(c.Request)), zap.Error(err))
	}
	p.router.post(table.Claimed{Request: c.Request, Claim: recorded, Err: err})
}

func (p *claimRecorder) record(ctx context.Context, c jaywind.Claim) (jaywind.Claim, error) {
	if p.router.Claims == nil {
		return jaywind.Claim{}, fmt.Errorf("%w: this router keeps no claims", jaywind.ErrUnavailable)
	}
	return p.router.Claims.Commit(ctx, c)
}

// recordWithRetry records a state until it is on record or the router stops; the last try outlives ctx.
func (p *claimRecorder) recordWithRetry(ctx context.Context, c jaywind.Claim) {
	pauses := backoff.NewExponentialBackOff()
	pauses.MaxInterval = recordMaxInterval
	try := func() (jaywind.Claim, error) {
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
		defer cancel()
		return p.record(limited, c)
	}
	_, err := backoff.Retry(ctx, try, backoff.WithBackOff(pauses), backoff.WithMaxElapsedTime(recordMaxElapsed))
	if err != nil {
		p.router.Log.Error("claims: state not recorded", zap.String("key", string(c.Key)),
			zap.Int("state", int(c.State)), zap.Error(err))
	}
}
