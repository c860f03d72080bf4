package admit

import (
	"slices"

	"jaywind"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

const usualTokens = 256 // cost of a request that states no limit

// push puts a request into the lane of its organisation, by priority and then by arrival.
func push(s *table.State, p *table.Pool, o *table.Organisation, u rule.Organisation, r *table.Request) {
	l := p.Queues[o.Name]
	if l == nil {
		l = &table.OrganisationQueue{Name: o.Name}
		p.Queues[o.Name] = l
	}
	if len(l.Requests) == 0 {
		l.FinishTime = max(l.FinishTime, p.VirtualTime)
	}
	l.Weight = weightOf(u)
	l.Requests = slices.Insert(l.Requests, rank(s, l, r), r.ID)
	p.Queued++
}

// rank returns the place of a request in a lane.
func rank(s *table.State, l *table.OrganisationQueue, r *table.Request) int {
	i := len(l.Requests)
	for i > 0 {
		before := s.Requests[l.Requests[i-1]]
		if before != nil && before.Priority >= r.Priority {
			break
		}
		i--
	}
	return i
}

// pop takes the next request of the lane whose turn it is; nil if its caller has gone.
func pop(s *table.State, p *table.Pool) *table.Request {
	l := next(p)
	id := l.Requests[0]
	l.Requests = l.Requests[1:]
	p.Queued--
	r := s.Requests[id]
	if r == nil || r.Phase != table.PhaseQueued {
		return nil
	}
	p.VirtualTime = l.FinishTime
	l.FinishTime += costOf(r) / l.Weight
	if u := s.Rules.Organisations[l.Name]; u.Priority != 0 {
		r.Priority = u.Priority
	}
	return r
}

// next returns the lane with the least virtual time that has requests.
func next(p *table.Pool) *table.OrganisationQueue {
	var best *table.OrganisationQueue
	for _, l := range p.Queues {
		if len(l.Requests) == 0 {
			continue
		}
		if best == nil || l.FinishTime < best.FinishTime || l.FinishTime == best.FinishTime && l.Name < best.Name {
			best = l
		}
	}
	return best
}

// sweep forgets the lanes that neither wait nor owe.
func sweep(p *table.Pool) {
	for name, l := range p.Queues {
		if len(l.Requests) == 0 && (l.FinishTime <= p.VirtualTime || p.Queued == 0) {
			delete(p.Queues, name)
		}
	}
}

// expire refuses the queued requests that have waited too long.
func expire(s *table.State, p *table.Pool) {
	for _, name := range lanesOf(p) {
		l := p.Queues[name]
		kept := l.Requests[:0]
		for _, id := range l.Requests {
			r := s.Requests[id]
			if r == nil || r.Phase != table.PhaseQueued {
				continue
			}
			if overdue(s, r) {
				refuse(s, r, "the queue is too long", drainTime(p, l, len(l.Requests)))
				continue
			}
			kept = append(kept, id)
		}
		p.Queued -= len(l.Requests) - len(kept)
		l.Requests = kept
	}
}

func overdue(s *table.State, r *table.Request) bool {
	if !r.Deadline.IsZero() && !s.Now.Before(r.Deadline) {
		return true
	}
	return s.Now.Sub(r.Arrived) >= queueLimit
}

func lanesOf(p *table.Pool) []jaywind.Organisation {
	names := make([]jaywind.Organisation, 0, len(p.Queues))
	for name := range p.Queues {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func costOf(r *table.Request) float64 {
	if r.MaxTokens <= 0 {
		return usualTokens
	}
	return float64(r.MaxTokens)
}

func weightOf(u rule.Organisation) float64 {
	return float64(max(1, u.Weight))
}
