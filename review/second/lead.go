package main

import (
	"syscall"
	"time"
)

func init() { cases["lead"] = lead }

// lead rolls out a version that turns bad under load. The process that has given it the full load is killed at once.
func lead(r *record, trouble bool, use func(*fleet)) (broken bool) {
	const contact = 3 * time.Second
	d := newDesk(r, use)
	seen, seenNew := map[string]bool{}, map[string]bool{} // attempts that have reached the service, and v2 from machines in touch
	var victim *vm                                        // the machine that was killed
	var down, up time.Time
	d.onArrival = func(n *run, now time.Time) {
		if d.ordered.IsZero() || now.After(d.deadline()) {
			return
		}
		seen[n.id] = true
		inTouch := victim == nil || d.to[n.id].to != victim.name || now.Before(down) || !up.IsZero() && now.After(up.Add(contact))
		if n.replica.version == "v2" && inTouch {
			seenNew[n.id] = true
		}
	}
	d.order("v2")
	d.awaitShift()
	if trouble {
		first := d.fleet.vms[0] // by name; it leads
		for _, m := range d.fleet.vms {
			if m.name < first.name {
				first = m
			}
		}
		time.Sleep(50 * time.Millisecond)
		first.signal(syscall.SIGKILL)
		<-first.ended
		d.mu.Lock()
		victim, down = first, time.Now()
		d.mu.Unlock()
		r.line("SIGKILL to %s, which wrote last to the store under a condition", first.name)
		time.AfterFunc(3500*time.Millisecond, func() {
			d.fleet.start(first)
			d.mu.Lock()
			up = time.Now()
			d.mu.Unlock()
			r.line("%s starts again", first.name)
		})
	}
	time.Sleep(time.Until(d.deadline().Add(4 * time.Second)))
	close(d.stop)
	d.mu.Lock()
	defer d.mu.Unlock()
	limit := 0.1*float64(len(seen)) + 50
	r.line("between the order and its deadline: %d requests reached the service, %d of them v2 from machines in touch; %.0f are allowed", len(seen), len(seenNew), limit)
	r.line("%d bad answers of v2; %d requests answered, %d failed", d.bad, d.answered.Load(), d.failed.Load())
	if d.bad == 0 {
		panic("the case can't run: v2 did not turn bad")
	}
	return float64(len(seenNew)) > limit
}
