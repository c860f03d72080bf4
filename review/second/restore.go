package main

import (
	"os"
	"syscall"
	"time"
)

func init() { cases["restore"] = restore }

// restore rolls out a sound version. Right after it was completed, all processes are killed, and the store comes back from a copy
// of some seconds before.
func restore(r *record, trouble bool, use func(*fleet)) (broken bool) {
	const recover = 12 * time.Second // recoveryS
	d := newDesk(r, use)
	d.sound = true
	d.store.keepCopies()
	fresh := d.order("v2")
	select {
	case <-d.completed:
	case <-time.After(time.Until(d.deadline())):
		panic("the case can't run: the roll-out was not completed")
	}
	for _, p := range d.old { // they stop at once
		d.store.delete("servers/" + p.id)
		_ = p.server.Close()
	}
	r.line("the replicas of v1 have stopped")
	time.Sleep(time.Second)
	back := time.Now()
	if trouble {
		only := os.Getenv("TROUBLE") // "store" and "kill" stand for one disruption alone
		if only != "kill" {
			d.store.leave()
			r.line("the store is away")
		}
		if only != "store" {
			for _, m := range d.fleet.vms {
				m.signal(syscall.SIGKILL)
			}
			r.line("SIGKILL to all processes")
		}
		time.Sleep(500 * time.Millisecond)
		if only != "kill" {
			d.comeBack(fresh)
		}
		time.Sleep(500 * time.Millisecond)
		if only != "store" {
			d.fleet.startAll()
			d.fleet.awaitReady(8 * time.Second)
		}
		back = time.Now()
		r.line("all machines are back")
	}
	time.Sleep(time.Until(back.Add(recover)))
	served, failed := d.answered.Load(), d.failed.Load()
	r.line("requests are judged from now on")
	time.Sleep(20 * time.Second)
	close(d.stop)
	served, failed = d.answered.Load()-served, d.failed.Load()-failed
	share := float64(served) / float64(max(1, served+failed))
	r.line("later than recoveryS after the machines were back: %d requests served, %d not, a share of %.2f; a quarter is the least", served, failed, share)
	if served+failed == 0 {
		panic("the case can't run: no request was sent")
	}
	return share < 0.25
}

// comeBack restores the store from a copy of 4 s ago. What the operator and the replicas have written is written again.
func (d *desk) comeBack(fresh []*replica) {
	d.store.restore(4*time.Second, func() {
		for _, p := range d.old {
			d.store.remove("servers/" + p.id)
		}
		for _, p := range fresh {
			i := d.store.state.items["servers/"+p.id]
			d.store.set(i.Key, i.Value, 0)
		}
		for _, key := range []string{"op/config", "op/rollout/desk"} {
			d.store.set(key, d.store.state.items[key].Value, 0)
		}
	})
	d.record.line("the store is back from a copy of 4 s ago: status %s", d.store.get("status/rollout/desk"))
}
