package schedule

import (
	"slices"
	"time"

	"jaywind"
)

const (
	defaultPrefillMs = 0.25 // a prompt token, before anything is learned
	defaultEventMs   = 30   // an event, before anything is learned
	speedAlpha       = 0.4  // weight of a sample in the moving averages
	minHold          = 5 * time.Second
	maxHold          = time.Minute // for which a speed counts without new samples
	medianAge        = 250 * time.Millisecond
	maxAddresses     = 8192
	maxFactor        = 20
	sameFactor       = 1.25 // ratio up to which two samples agree
)

// Sample is how fast an endpoint has worked on one run. A time of 0 was not measured.
type Sample struct {
	Address jaywind.Address
	Event   time.Duration // 25th percentile of the times between events, which few prefills of others and short pauses change
	Prefill time.Duration // of Tokens prompt tokens, up to the first event
	Tokens  int
}

// Speeds learns how fast endpoints are. Speed belongs to the machine behind an address, so a new incarnation starts with what its
// address has shown. The zero value knows nothing.
type Speeds struct {
	addresses map[jaywind.Address]*speed
	medianAt  time.Time
	eventMed  float64 // ms an event, median of the addresses
	prefMed   float64 // ms a prompt token
	now       time.Time
}

// speed is what an address has shown.
type speed struct {
	event   float64 // ms; 0 if not measured
	prefill float64 // ms a token; 0 if not measured
	at      time.Time
	hold    time.Duration
}

// Add records a sample.
func (s *Speeds) Add(m Sample, now time.Time) {
	if s.addresses == nil || len(s.addresses) >= maxAddresses {
		s.addresses = map[jaywind.Address]*speed{}
	}
	p := s.addresses[m.Address]
	if p == nil {
		p = &speed{hold: minHold}
		s.addresses[m.Address] = p
	}
	if m.Event > 0 {
		ms := float64(m.Event) / float64(time.Millisecond)
		if p.event > 0 && ms < sameFactor*p.event && p.event < sameFactor*ms {
			p.hold = min(maxHold, 2*p.hold)
		} else {
			p.hold = minHold
		}
		p.event = average(p.event, ms)
	}
	if m.Prefill > 0 && m.Tokens > 0 {
		p.prefill = average(p.prefill, float64(m.Prefill)/float64(time.Millisecond)/float64(m.Tokens))
	}
	p.at = now
	s.updateMedians(now)
}

func average(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + speedAlpha*(sample-old)
}

func (s *Speeds) updateMedians(now time.Time) {
	s.now = now
	if now.Sub(s.medianAt) < medianAge && s.eventMed > 0 {
		return
	}
	s.medianAt = now
	var events, prefills []float64
	for _, p := range s.addresses {
		if p.event > 0 {
			events = append(events, p.event)
		}
		if p.prefill > 0 {
			prefills = append(prefills, p.prefill)
		}
	}
	s.eventMed, s.prefMed = median(events), median(prefills)
}

func median(all []float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// Factor returns by how much slower an address is than the median of its service: 1 for one that is not known, and again some time
// after its last sample.
func (s *Speeds) Factor(at jaywind.Address) float64 { return s.factor(at, s.now) }

func (s *Speeds) factor(at jaywind.Address, now time.Time) float64 {
	p := s.addresses[at]
	if p == nil || p.event == 0 || s.eventMed == 0 {
		return 1
	}
	f := min(maxFactor, max(1/float64(maxFactor), p.event/s.eventMed))
	over := now.Sub(p.at) - p.hold
	if over <= 0 {
		return f
	}
	keep := max(0, 1-float64(over)/float64(p.hold))
	return 1 + (f-1)*keep
}

// Spread returns the ratio of the speeds of the slow and the fast addresses, at the quartiles, so that a few endpoints that are slow for a while do not count; 1 while few are known.
func (s *Speeds) Spread() float64 {
	var all []float64
	for _, p := range s.addresses {
		if p.event > 0 {
			all = append(all, p.event)
		}
	}
	if len(all) < minSpread {
		return 1
	}
	slices.Sort(all)
	return all[len(all)*3/4] / max(0.001, all[len(all)/4])
}

// minSpread is the number of addresses from which on their speeds are compared.
const minSpread = 6

func (s *Speeds) prefillMs(at jaywind.Address, tokens int, now time.Time) float64 {
	return s.bestPrefillMs(tokens) * s.factor(at, now)
}

func (s *Speeds) eventMs(at jaywind.Address, now time.Time) float64 {
	return s.bestEventMs() * s.factor(at, now)
}

// bestPrefillMs returns the time of a prefill at an endpoint of the median speed.
func (s *Speeds) bestPrefillMs(tokens int) float64 {
	if s.prefMed > 0 {
		return s.prefMed * float64(tokens)
	}
	return defaultPrefillMs * float64(tokens)
}

// bestEventMs returns the time of an event at an endpoint of the median speed.
func (s *Speeds) bestEventMs() float64 {
	if s.eventMed > 0 {
		return s.eventMed
	}
	return defaultEventMs
}
