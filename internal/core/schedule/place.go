package schedule

import (
	"math"
	"slices"
	"time"
)

const (
	prefillDelay   = 0.8 // part of the time of a prefill by which the other runs of the engine are delayed
	slowFactor     = 1.4 // speed factor from which on an engine keeps no copies while another one has room
	memoryPressure = 0.9 // fraction of an engine's memory that copies may take together with its runs
)

// place returns the engine at which a request would end soonest and the engine that is to keep a copy of its memory. The engine is nil
// if none can take the request now.
func (s *Scheduler) place(r *Request, now time.Time) (at, standby *Endpoint) {
	best := math.Inf(1)
	for i := range s.endpoints {
		e := &s.endpoints[i]
		l := s.loadOf(e.Key)
		if slices.Contains(r.Exclude, e.Key) || !s.fits(l, e, r, now) {
			continue
		}
		end := s.endOf(l, e, r, now)
		if end < best || end == best && l.assigned < s.loadOf(at.Key).assigned {
			at, best = e, end
		}
	}
	if at == nil || !s.Capacity.CopiesMemory {
		return at, nil
	}
	return at, s.placeCopy(at, r)
}

// fits reports whether an engine has a slot and memory for a request, and prefills no other prompt.
func (s *Scheduler) fits(l *load, e *Endpoint, r *Request, now time.Time) bool {
	if l.runs >= e.Slots {
		return false
	}
	fill := maxFill
	if r.Resumed {
		fill = 1
	}
	if float64(l.held+l.copies+r.Tokens) > fill*float64(s.Capacity.MemoryTokens) {
		return false
	}
	expected := 0.0 // ms for all prompts, which the engine prefills one after the other
	for _, run := range l.prefills {
		expected += s.speeds.prefillMs(e.Address, run.Prefill, now)
	}
	grace := max(minPrefill, milliseconds(prefillGrace*expected))
	n := 0
	for _, run := range l.prefills {
		if now.Sub(run.Started) < grace {
			n++
		}
	}
	if r.Resumed {
		return n <= maxPrefills
	}
	return n < maxPrefills
}

// endOf returns in how many ms a request would end at an engine, and by how much it would delay the runs there.
func (s *Scheduler) endOf(l *load, e *Endpoint, r *Request, now time.Time) float64 {
	own := s.speeds.prefillMs(e.Address, r.Prefill, now)
	ahead := 0.0
	for _, run := range l.prefills {
		ahead += s.speeds.prefillMs(e.Address, run.Prefill, now)
	}
	return ahead + own + s.speeds.eventMs(e.Address, now)*float64(r.Events) + prefillDelay*own*float64(l.runs)
}

// placeCopy returns the engine with the most free memory outside the failure domain of a run, or nil if none has room.
func (s *Scheduler) placeCopy(at *Endpoint, r *Request) *Endpoint {
	var standby *Endpoint
	best := math.Inf(1)
	for i := range s.endpoints {
		e := &s.endpoints[i]
		l := s.loadOf(e.Key)
		held := float64(l.held+l.copies+r.Tokens) / float64(max(1, s.Capacity.MemoryTokens))
		if e.Key == at.Key || slices.Contains(r.Exclude, e.Key) || held > memoryPressure {
			continue
		}
		weight := held
		if e.Domain == at.Domain {
			weight += 2 // a copy in the same failure domain is lost with the run most of the time
		}
		if s.speeds.Factor(e.Address) >= slowFactor {
			weight++
		}
		if weight < best || weight == best && l.assigned < s.loadOf(standby.Key).assigned {
			standby, best = e, weight
		}
	}
	return standby
}
