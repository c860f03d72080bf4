package admit

import (
	"time"

	"jaywind"
	"jaywind/internal/core/table"
)

const returnAfter = time.Second // what a caller of a stopping or unready router is told

// Admit passes queued requests on to placement.
type Admit struct{}

// Step looks at each queued request once.
func (Admit) Step(s *table.State) {
	waiting := s.Queued
	s.Queued = nil
	for _, id := range waiting {
		r := s.Requests[id]
		if r == nil || r.Phase != table.PhaseQueued {
			continue
		}
		if reason := refusal(s, r); reason != "" {
			refuse(s, id, reason)
			continue
		}
		r.Phase = table.PhaseReady
		s.Ready = append(s.Ready, id)
	}
}

// refusal returns why a request may not start, or nothing.
func refusal(s *table.State, r *table.Request) string {
	if s.Stopping {
		return "this router is stopping"
	}
	if s.Fleet.Cut {
		return "this router is cut off from the store and from most routers"
	}
	if s.Rules == nil {
		return "no rules are known yet"
	}
	if _, known := s.Rules.Models[r.Model]; !known {
		return "no such model: " + string(r.Model)
	}
	return ""
}

func refuse(s *table.State, id jaywind.RequestID, reason string) {
	s.Counts.Refused++
	delete(s.Requests, id)
	s.Emit(table.Finish{Request: id, Outcome: table.OutcomeRefused, Reason: reason, RetryAfter: returnAfter})
}
