package admit

import (
	"slices"

	"jaywind"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

const defaultTokens = 256 // fair-queueing cost of a request without a token limit

// push inserts a request into the queue of its organisation, ordered by priority and then by arrival.
func push(s *table.State, p *table.Pool, o *table.Organisation, u rule.Organisation, r *table.Request) {
	q := p.Queues[o.Name]
	if q == nil {
		q = &table.OrganisationQueue{Name: o.Name}
		p.Queues[o.Name] = q
	}
	if len(q.Requests) == 0 {
		q.FinishTime = max(q.FinishTime, p.VirtualTime)
	}
	q.Weight = weightOf(u)
	q.Requests = slices.Insert(q.Requests, insertIndex(s, q, r), r.ID)
	p.Queued++
}

// insertIndex returns the index at which a request is inserted into a queue.
func insertIndex(s *table.State, q *table.OrganisationQueue, r *table.Request) int {
	i := len(q.Requests)
	for i > 0 {
		before := s.Requests[q.Requests[i-1]]
		if before != nil && before.Priority >= r.Priority {
			break
		}
		i--
	}
	return i
}

// pop removes the next request of the next queue. It returns nil if that request has ended or is no longer queued.
func pop(s *table.State, p *table.Pool) *table.Request {
	q := nextQueue(p)
	id := q.Requests[0]
	q.Requests = q.Requests[1:]
	p.Queued--
	r := s.Requests[id]
	if r == nil || r.Phase != table.PhaseQueued {
		return nil
	}
	p.VirtualTime = q.FinishTime
	q.FinishTime += costOf(r) / q.Weight
	if u := s.Rules.Organisations[q.Name]; u.Priority != 0 {
		r.Priority = u.Priority
	}
	return r
}

// nextQueue returns the non-empty queue with the lowest virtual finish time.
func nextQueue(p *table.Pool) *table.OrganisationQueue {
	var best *table.OrganisationQueue
	for _, q := range p.Queues {
		if len(q.Requests) == 0 {
			continue
		}
		if best == nil || q.FinishTime < best.FinishTime || q.FinishTime == best.FinishTime && q.Name < best.Name {
			best = q
		}
	}
	return best
}

// removeIdleQueues removes empty queues whose virtual finish time is not ahead of the pool's virtual time.
func removeIdleQueues(p *table.Pool) {
	for name, q := range p.Queues {
		if len(q.Requests) == 0 && (q.FinishTime <= p.VirtualTime || p.Queued == 0) {
			delete(p.Queues, name)
		}
	}
}

// refuseExpired refuses queued requests that have passed their deadline or the longest queue wait.
func refuseExpired(s *table.State, p *table.Pool) {
	for _, name := range sortedQueues(p) {
		q := p.Queues[name]
		kept := q.Requests[:0]
		for _, id := range q.Requests {
			r := s.Requests[id]
			if r == nil || r.Phase != table.PhaseQueued {
				continue
			}
			if expired(s, r) {
				refuse(s, r, "the queue is too long", estimateDrain(p, q, len(q.Requests)))
				continue
			}
			kept = append(kept, id)
		}
		p.Queued -= len(q.Requests) - len(kept)
		q.Requests = kept
	}
}

func expired(s *table.State, r *table.Request) bool {
	if !r.Deadline.IsZero() && !s.Now.Before(r.Deadline) {
		return true
	}
	return s.Now.Sub(r.Arrived) >= maxQueueWait
}

func sortedQueues(p *table.Pool) []jaywind.Organisation {
	names := make([]jaywind.Organisation, 0, len(p.Queues))
	for name := range p.Queues {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func costOf(r *table.Request) float64 {
	if r.MaxTokens <= 0 {
		return defaultTokens
	}
	return float64(r.MaxTokens)
}

func weightOf(u rule.Organisation) float64 {
	return float64(max(1, u.Weight))
}
