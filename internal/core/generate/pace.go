package generate

import "jaywind/internal/core/table"

// observeDelay records a frame's delay in the statistics that set the limit of the request's pool.
func observeDelay(s *table.State, r *table.Request) {
	p := s.Pools[r.Model]
	if p == nil {
		return
	}
	if r.LastFrame.Before(r.Opened) {
		p.NoteFirst(s.Now.Sub(r.Opened), r.Prefill())
		return
	}
	p.NoteGap(s.Now.Sub(r.LastFrame))
}
