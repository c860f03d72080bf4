package main

import "time"

func init() { cases["back"] = back }

// back rolls out a version that turns bad under load. While it has a small share, another operator orders the old version.
func back(r *record, trouble bool, use func(*fleet)) (broken bool) {
	d := newDesk(r, use)
	seen, seenNew := map[string]bool{}, map[string]bool{} // attempts that have reached the service, and v2
	d.onArrival = func(n *run, now time.Time) {
		if d.ordered.IsZero() || now.After(d.deadline()) {
			return
		}
		seen[n.id] = true
		if n.replica.version == "v2" {
			seenNew[n.id] = true
		}
	}
	d.order("v2")
	time.Sleep(8 * time.Second)
	d.mu.Lock()
	r.line("so far %d requests reached the service, %d of them v2", len(seen), len(seenNew))
	d.mu.Unlock()
	if trouble {
		d.order("v1")
	}
	time.Sleep(time.Until(d.deadline().Add(4 * time.Second)))
	close(d.stop)
	d.mu.Lock()
	defer d.mu.Unlock()
	limit := 0.1*float64(len(seen)) + 50
	r.line("between the order of v2 and its deadline: %d requests reached the service, %d of them v2; %.0f are allowed", len(seen), len(seenNew), limit)
	r.line("%d bad answers of v2; %d requests answered, %d failed", d.bad, d.answered.Load(), d.failed.Load())
	if !d.turned.Load() {
		panic("the case can't run: v2 did not turn bad")
	}
	return float64(len(seenNew)) > limit
}
