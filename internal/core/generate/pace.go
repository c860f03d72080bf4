package generate

import "jaywind/internal/core/table"

// observeDelay records a frame's delay in the statistics that set the concurrency limit of the request's pool.
func observeDelay(s *table.State, r *table.Request) {
	p := s.Pools[r.Model]
	if p == nil {
		return
	}
	if r.LastFrameAt.Before(r.OpenedAt) {
		p.ObserveFirstToken(s.Now.Sub(r.OpenedAt), r.PrefillTokens())
		return
	}
	p.ObserveGap(s.Now.Sub(r.LastFrameAt))
}
