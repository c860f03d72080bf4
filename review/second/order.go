package main

import "time"

func init() { cases["order"] = order }

// order rolls out a version that turns bad under load. Soon after it was rolled back, the operator orders the next version.
func order(r *record, trouble bool, use func(*fleet)) (broken bool) {
	const rollback = 5 * time.Second // rollbackMs
	d := newDesk(r, use)
	late := 0
	d.onArrival = func(n *run, now time.Time) {
		c := d.to[n.id]
		if n.replica.version != "v2" || d.fifty.IsZero() || !c.at.After(d.fifty.Add(rollback)) {
			return
		}
		if late++; late <= 40 {
			r.line("LATE: %s, sent at %.3f to %s, runs at %s of version v2; the 50th bad answer was at %.3f", n.id, r.at(c.at), c.to, n.replica.id, r.at(d.fifty))
		}
	}
	fresh := d.order("v2")
	d.awaitShift()
	select {
	case <-d.rolledBack:
	case <-time.After(10 * time.Second):
		panic("the case can't run: v2 was not rolled back")
	}
	back := time.Now()
	if trouble {
		time.Sleep(time.Second)
		d.order("v3")
	}
	time.Sleep(time.Until(back.Add(9 * time.Second)))
	r.line("the replicas of v2 drain")
	for _, p := range fresh {
		p.drain(4 * time.Second)
	}
	time.Sleep(6 * time.Second)
	close(d.stop)
	d.mu.Lock()
	defer d.mu.Unlock()
	r.line("%d bad answers of v2; %d requests answered, %d failed; %d requests reached v2 too late", d.bad, d.answered.Load(), d.failed.Load(), late)
	if d.fifty.IsZero() {
		panic("the case can't run: v2 did not give 50 bad answers")
	}
	return late > 0
}
