package generate

import (
	"jaywind"
	"jaywind/internal/core/table"
)

// turnAway leaves an endpoint that refused the call; being full is no failure.
func turnAway(s *table.State, r *table.Request) {
	if e := s.Endpoints[r.Endpoint]; e != nil {
		e.Refuse(s.Now, s.Random)
	}
	if p := s.Pools[r.Model]; p != nil {
		p.Window.Refused++
	}
	release(s, r, true)
	avoidHere(r)
	requeue(s, r)
}

// noteMiss counts a failure to connect.
func noteMiss(s *table.State, r *table.Request) {
	if e := s.Endpoints[r.Endpoint]; e != nil {
		e.Miss(s.Now, s.Random)
	}
}

// avoidHere keeps the next attempt of the request from its current endpoint.
func avoidHere(r *table.Request) {
	if r.Avoid == nil {
		r.Avoid = map[jaywind.EndpointID]bool{}
	}
	r.Avoid[r.Endpoint] = true
	r.Reuse = false
}
