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
	recordTimeout     = 3 * time.Second  // for one attempt to record a state
	recordMaxElapsed  = 10 * time.Minute // for all attempts
	recordMaxInterval = 30 * time.Second // longest delay between attempts
)

// ClaimCommitter records claims of at-most-once calls and returns the recorded claim.
type ClaimCommitter interface {
	// Commit returns an error that wraps jaywind.ErrOutcomeUnknown if the claim may have been recorded nevertheless.
	Commit(ctx context.Context, c jaywind.Claim) (jaywind.Claim, error)
}

// claimRecorder records claims of at-most-once calls with Router.Claims.
type claimRecorder struct {
	router *Router
}

func (p *claimRecorder) run(context.Context) {}

func (p *claimRecorder) execute(ctx context.Context, c table.Command) bool {
	switch c := c.(type) {
	case table.CommitClaim:
		p.router.group.Go(func() { p.commit(ctx, c) })
	case table.RecordClaim:
		p.router.group.Go(func() { p.recordWithRetry(ctx, c.Claim) })
	default:
		return false
	}
	return true
}

func (p *claimRecorder) commit(ctx context.Context, c table.CommitClaim) {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	recorded, err := p.record(ctx, c.Claim)
	if err != nil {
		p.router.Log.Warn("claims: claim not committed", zap.String("request", string(c.Request)), zap.Error(err))
	}
	p.router.post(table.CommitCompleted{Request: c.Request, Claim: recorded, Err: err})
}

func (p *claimRecorder) record(ctx context.Context, c jaywind.Claim) (jaywind.Claim, error) {
	if p.router.Claims == nil {
		return jaywind.Claim{}, fmt.Errorf("%w: router has no claim committer", jaywind.ErrStoreUnavailable)
	}
	return p.router.Claims.Commit(ctx, c)
}

// recordWithRetry retries until the state is recorded, recordMaxElapsed has passed or the router stops.
//
// There is at least one attempt, and none is interrupted when the router stops.
func (p *claimRecorder) recordWithRetry(ctx context.Context, c jaywind.Claim) {
	delays := backoff.NewExponentialBackOff()
	delays.MaxInterval = recordMaxInterval
	attempt := func() (jaywind.Claim, error) {
		attemptCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
		defer cancel()
		return p.record(attemptCtx, c)
	}
	_, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(delays), backoff.WithMaxElapsedTime(recordMaxElapsed))
	if err != nil {
		p.router.Log.Error("claims: failed to record the state of a claim", zap.String("key", string(c.Key)),
			zap.Int("state", int(c.State)), zap.Error(err))
	}
}
