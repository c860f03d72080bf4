package admit

import (
	"time"

	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

const (
	maxQueueWait   = 300 * time.Millisecond // longest wait in a queue; together with table.FirstTarget it stays within the target of 860 ms
	shortQueue     = 16                     // requests queued in a pool, below which the estimated wait may be outdated
	maxQueueLength = 1024                   // requests queued in a pool
	minRetryAfter  = time.Second            // also the value without an estimate
	maxRetryAfter  = 30 * time.Second
)

// refusal is why a request can't be queued and when to retry; with an empty reason it can be queued.
type refusal struct {
	reason string
	after  time.Duration
}

// checkAdmission checks whether a request can start in time and within its organisation's rate, and
// takes a rate token if so. A request that another router has sent before takes none.
func checkAdmission(s *table.State, p *table.Pool, o *table.Organisation, u rule.Organisation, r *table.Request) refusal {
	if p.Backlog > 0 {
		return refusal{"generations of lost engines are being resumed", minRetryAfter}
	}
	wait := estimateWait(p, o, u)
	if p.Queued >= maxQueueLength || wait > maxQueueWait && !bypassesEstimate(p, o) {
		p.Window.LimitHit = true
		return refusal{"the queue is too long", wait}
	}
	if !r.Deadline.IsZero() && s.Now.Add(wait).After(r.Deadline) {
		return refusal{"the deadline can't be met", wait}
	}
	if r.Sent {
		return refusal{}
	}
	if wait := takeToken(s, o, u); wait > 0 {
		return refusal{"the organisation is over its rate", wait}
	}
	return refusal{}
}

// bypassesEstimate reports whether a request is queued even though its estimated wait is too long:
// with few queued requests the start rate behind the estimate may be outdated.
func bypassesEstimate(p *table.Pool, o *table.Organisation) bool {
	q := p.Queues[o.Name]
	return p.Queued < shortQueue && (q == nil || len(q.Requests) == 0)
}

// estimateWait estimates the queue wait of a new request of an organisation.
func estimateWait(p *table.Pool, o *table.Organisation, u rule.Organisation) time.Duration {
	if p.Queued == 0 && hasRoom(p) {
		return 0
	}
	q := p.Queues[o.Name]
	if q == nil {
		q = &table.OrganisationQueue{Name: o.Name, Weight: weightOf(u)}
	}
	return estimateDrain(p, q, len(q.Requests)+1)
}

// estimateDrain estimates the time until the first n requests of a queue have started; 0 while no rate is known.
func estimateDrain(p *table.Pool, q *table.OrganisationQueue, n int) time.Duration {
	if p.Rate == 0 {
		return 0
	}
	weights := q.Weight
	for _, other := range p.Queues {
		if other.Name != q.Name && len(other.Requests) > 0 {
			weights += other.Weight
		}
	}
	seconds := float64(n) * weights / q.Weight / p.Rate
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// takeToken takes a token from the organisation's bucket and returns 0, or returns the time until one is available.
func takeToken(s *table.State, o *table.Organisation, u rule.Organisation) time.Duration {
	if u.Rate <= 0 {
		return 0
	}
	recordDemand(s, o, u)
	part := limitShare(s, o, u)
	rate := u.Rate * part
	burst := max(1, float64(u.Burst)*part)
	if o.RefilledAt.IsZero() {
		o.Tokens = burst
	} else {
		o.Tokens = min(burst, o.Tokens+s.Now.Sub(o.RefilledAt).Seconds()*rate)
	}
	o.RefilledAt = s.Now
	if o.Tokens < 1 {
		wait := time.Duration(min((1-o.Tokens)/rate, maxRetryAfter.Seconds()) * float64(time.Second))
		return max(wait, 1) // a wait that rounds to 0 would admit the request
	}
	o.Tokens--
	return 0
}

// refuse ends a queued request with a jittered retry delay.
func refuse(s *table.State, r *table.Request, reason string, after time.Duration) {
	outcome := table.OutcomeRefused
	if r.Sent {
		outcome = table.OutcomeFailed // another router may have run it, so "refused" would be wrong
	}
	s.Counts.Refused++
	delete(s.Requests, r.ID)
	after = min(max(after, minRetryAfter), maxRetryAfter)
	after += time.Duration(s.Random.Int64N(int64(after/2) + 1))
	s.Emit(table.FinishRequest{Request: r.ID, Outcome: outcome, Reason: reason, RetryAfter: after, Bookmark: r.Bookmark()})
}
