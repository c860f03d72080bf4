package generate

import (
	"jaywind"
	"jaywind/internal/core/table"
)

// handleBusy leaves an endpoint that refused the call. A full endpoint does not count as failed.
func handleBusy(s *table.State, r *table.Request) {
	if e := s.Endpoints[r.Endpoint]; e != nil {
		e.RecordRefusal(s.Now, s.Random)
	}
	if p := s.Pools[r.Model]; p != nil {
		p.Window.Refused++
	}
	releaseAttempt(s, r, true)
	avoidEndpoint(r)
	requeue(s, r)
}

func recordConnectFailure(s *table.State, r *table.Request) {
	if e := s.Endpoints[r.Endpoint]; e != nil {
		e.RecordUnreachable(s.Now, s.Random)
	}
}

// avoidEndpoint excludes the current endpoint from the next attempts of the request.
func avoidEndpoint(r *table.Request) {
	if r.Avoid == nil {
		r.Avoid = map[jaywind.EndpointID]bool{}
	}
	r.Avoid[r.Endpoint] = true
	r.ReuseStream = false
}
