package schedule

import (
	"time"

	"jaywind"
)

// Row is what a summary says of one endpoint.
type Row struct {
	Endpoint   Key
	Runs       int
	Held       int     // memory that runs and copies take, in tokens
	Prefill    int     // prompt tokens of runs without an event
	Factor     float64 // time that the endpoint takes, over the median of its service
	Open       int     // plain calls under way
	MeanMs     float64 // of a plain call; 0 if not measured
	Rejections float64 // share of the plain calls that it turned away
}

// Summary is the work of all routers at the endpoints of a service.
type Summary struct {
	Rows     []Row
	Bound    int     // memory that runs and their copies may take together, in tokens
	InUse    int     // memory that they take
	Waiting  int     // requests in the queue
	Spread   float64 // ratio of the learned speeds of slow and fast endpoints
	EventMs  float64 // median time of an event; 0 if not measured
	PromptMs float64 // median time of a prompt token; 0 if not measured
}

// Summary returns the work at all endpoints that accept work.
func (s *Scheduler) Summary(now time.Time) Summary {
	s.init()
	s.expire(now)
	out := Summary{Bound: s.bound(), InUse: s.inUse(), Waiting: len(s.queue), Spread: s.speeds.Spread(), EventMs: s.speeds.eventMed, PromptMs: s.speeds.prefMed}
	for _, e := range s.endpoints {
		l := s.loadOf(e.Key)
		row := Row{Endpoint: e.Key, Runs: l.runs, Held: l.held + l.copies, Factor: s.speeds.factor(e.Address, now), Open: s.plain.openCalls(e.Key)}
		for _, run := range l.prefills {
			row.Prefill += run.Prefill
		}
		if p := s.plain.total[e.Key]; p != nil {
			row.MeanMs, row.Rejections = p.meanMs, p.rejections
		}
		out.Rows = append(out.Rows, row)
	}
	return out
}

// learnedPrompt is the prompt tokens of the sample that stands for a learned time per prompt token, so that rounding to ns doesn't matter.
const learnedPrompt = 1000

// Learn takes over the speeds of a summary for addresses of which this scheduler knows nothing, when another router becomes the owner.
func (s *Scheduler) Learn(from Summary, addresses map[Key]jaywind.Address, now time.Time) {
	for _, row := range from.Rows {
		at, known := addresses[row.Endpoint]
		if !known || from.EventMs <= 0 || row.Factor <= 0 || s.speeds.addresses[at] != nil {
			continue
		}
		s.speeds.Add(Sample{Address: at, Event: milliseconds(row.Factor * from.EventMs), Prefill: milliseconds(row.Factor * from.PromptMs * learnedPrompt), Tokens: learnedPrompt}, now)
	}
	s.speeds.medianAt = time.Time{} // the median has to count all of them, not the first one only
	s.speeds.updateMedians(now)
}
