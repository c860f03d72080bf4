package admit

import (
	"time"

	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

const (
	queueLimit  = 300 * time.Millisecond // that a request may wait for its turn; with table.FirstTarget within the target of 860 ms
	trustLimit  = 16                     // requests in the queue of a pool
	lengthLimit = 1024                   // requests in the queue of a pool
	returnAfter = time.Second            // what a caller is told when nothing better is known, and the least
	returnCap   = 30 * time.Second
)

// hold says why a request can't be queued and when it could; no reason means that it can.
type hold struct {
	reason string
	after  time.Duration
}

// drain works out whether a request can start in time, and takes its organisation's token if so.
func drain(s *table.State, p *table.Pool, o *table.Organisation, u rule.Organisation, r *table.Request) hold {
	if p.Backlog > 0 {
		return hold{"generations of lost engines are being resumed", returnAfter}
	}
	wait := waitOf(p, o, u)
	if p.Queued >= lengthLimit || wait > queueLimit && !trusted(p, o) {
		p.Window.LimitHit = true
		return hold{"the queue is too long", wait}
	}
	if !r.Deadline.IsZero() && s.Now.Add(wait).After(r.Deadline) {
		return hold{"the deadline can't be met", wait}
	}
	if r.Sent {
		return hold{}
	}
	if wait := take(s, o, u); wait > 0 {
		return hold{"the organisation is over its rate", wait}
	}
	return hold{}
}

// trusted tells whether a request is queued against the estimate, which may be old when few are queued.
func trusted(p *table.Pool, o *table.Organisation) bool {
	l := p.Queues[o.Name]
	return p.Queued < trustLimit && (l == nil || len(l.Requests) == 0)
}

// waitOf estimates how long a new request of an organisation would wait.
func waitOf(p *table.Pool, o *table.Organisation, u rule.Organisation) time.Duration {
	if p.Queued == 0 && hasRoom(p) {
		return 0
	}
	l := p.Queues[o.Name]
	if l == nil {
		l = &table.OrganisationQueue{Name: o.Name, Weight: weightOf(u)}
	}
	return drainTime(p, l, len(l.Requests)+1)
}

// drainTime estimates how long the first n requests of a lane take to start; 0 while no rate is known.
func drainTime(p *table.Pool, l *table.OrganisationQueue, n int) time.Duration {
	if p.Rate == 0 {
		return 0
	}
	weights := l.Weight
	for _, other := range p.Queues {
		if other.Name != l.Name && len(other.Requests) > 0 {
			weights += other.Weight
		}
	}
	seconds := float64(n) * weights / l.Weight / p.Rate
	return time.Duration(min(seconds, returnCap.Seconds()) * float64(time.Second))
}

// take spends one of the organisation's tokens, or returns when there will be one.
func take(s *table.State, o *table.Organisation, u rule.Organisation) time.Duration {
	if u.Rate <= 0 {
		return 0
	}
	noteDemand(s, o, u)
	part := share(s, o, u)
	rate := u.Rate * part
	burst := max(1, float64(u.Burst)*part)
	if o.RefilledAt.IsZero() {
		o.Tokens = burst
	} else {
		o.Tokens = min(burst, o.Tokens+s.Now.Sub(o.RefilledAt).Seconds()*rate)
	}
	o.RefilledAt = s.Now
	if o.Tokens < 1 {
		wait := time.Duration(min((1-o.Tokens)/rate, returnCap.Seconds()) * float64(time.Second))
		return max(wait, 1) // rounding to no wait would let the request pass
	}
	o.Tokens--
	return 0
}

// refuse ends a request that was not started.
func refuse(s *table.State, r *table.Request, reason string, after time.Duration) {
	outcome := table.OutcomeRefused
	if r.Sent {
		outcome = table.OutcomeFailed // another router may have run it
	}
	s.Counts.Refused++
	delete(s.Requests, r.ID)
	after = min(max(after, returnAfter), returnCap)
	after += time.Duration(s.Random.Int64N(int64(after/2) + 1))
	s.Emit(table.FinishRequest{Request: r.ID, Outcome: outcome, Reason: reason, RetryAfter: after, Bookmark: r.Bookmark()})
}
