package step

import "jaywind/internal/core/table"

// Rules applies accepted rules and the request to stop; it never goes back to a lower version of the rules.
type Rules struct{}

// Step applies the highest version of the rules among the events.
func (Rules) Step(s *table.State) {
	for _, e := range s.Events {
		switch e := e.(type) {
		case table.RulesReceived:
			adopt(s, e)
		case table.StopRequested:
			s.Stopping = true
		}
	}
}

// adopt replaces the rules by newer ones and adds rows for new endpoints.
func adopt(s *table.State, e table.RulesReceived) {
	if s.Rules != nil && e.Version <= s.RulesVersion {
		return
	}
	s.Rules = e.Set
	s.RulesVersion = e.Version
	for id := range e.Set.Endpoints {
		if s.Endpoints[id] == nil {
			s.Endpoints[id] = &table.Endpoint{ID: id}
		}
	}
}
