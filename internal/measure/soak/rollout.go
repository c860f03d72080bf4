package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"jaywind/platform/standin"
)

const (
	rollOutTime   = 8 * time.Second // that the operator gives
	rollOutSlack  = 2 * time.Second // for its end to be written
	exposureShare = 0.1             // of the requests that a bad version may get
	exposureSlack = 50              // requests besides
)

// rollOut starts replicas of a new version of the plain service beside the old ones, orders that it is rolled out, and does
// what the platform does at the end: it stops the old ones at once, or drains the new ones.
func (n *nemesis) rollOut(ctx context.Context, bad bool) {
	if !n.change.TryLock() {
		return
	}
	defer n.change.Unlock()
	f := n.fleet
	n.count++
	version := fmt.Sprintf("v%d", n.count+1)
	var fresh []*replica
	defer func() {
		for _, r := range fresh {
			r.end()
			r.gate.close()
		}
	}()
	for i := range f.size.Plain {
		r, err := f.newReplica(fmt.Sprintf("new%d-%d", n.count, i), "desk", version, i, bad)
		if err != nil {
			n.record.fail("start", "", fmt.Sprintf("a replica of %s does not start: %v", version, err))
			return
		}
		fresh = append(fresh, r)
	}
	time.Sleep(3 * standin.Heartbeat) // until they are registered
	ordered := time.Now()
	if err := f.operator().RollOut("desk", version, rollOutTime); err != nil {
		n.record.note("the store does not take the order of %s: %v", version, err)
		return
	}
	state := n.awaitRollOut(ctx, version)
	n.record.note("%s, bad %v: %q after %v", version, bad, state, time.Since(ordered).Round(time.Millisecond))
	if bad {
		n.record.exposed(fmt.Sprintf("i-new%d-", n.count), ordered)
	}
	switch {
	case state == "completed" && bad:
		n.record.fail("rollout", "", "a version that fails all requests is completed")
	case state == "completed":
		n.replace(version)
	}
	for _, r := range fresh {
		if err := standin.Post("http://"+r.address+"/drain", nil); err != nil {
			n.record.note("%s takes no order to drain: %v", r.name, err)
		}
	}
	time.Sleep(drainTime + time.Second)
}

// awaitRollOut returns how a roll-out has ended, or its state when its time is over.
func (n *nemesis) awaitRollOut(ctx context.Context, version string) string {
	state := ""
	for end := time.Now().Add(rollOutTime + rollOutSlack); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		if s := n.fleet.operator().RollOutState("desk", version); s != "" {
			state = s
		}
		if state == "completed" || state == "rolled_back" {
			return state
		}
	}
	return state
}

// replace stops the old replicas without notice, and starts as many of the new version in their places.
func (n *nemesis) replace(version string) {
	for _, r := range n.fleet.replicas[n.fleet.size.Engines:] {
		if !r.claim() {
			continue // another strike has it, and starts it again as it was
		}
		end := r.disturb()
		r.signal(syscall.SIGKILL)
		r.wait(longest)
		r.version = version
		r.renew(n.fleet, true)
		n.restart(&r.process)
		end()
		r.release()
	}
}

// exposed checks what replicas of a bad version, whose ids begin so, have got since the order.
func (r *record) exposed(prefix string, ordered time.Time) {
	time.Sleep(drainTime) // for the last sights to be read
	r.mu.Lock()
	all, fresh := 0, 0
	for _, sights := range r.sights {
		for _, s := range sights {
			if s.What != "run" || time.UnixMilli(s.At).Before(ordered) || r.attempts[s.Attempt] != nil && r.attempts[s.Attempt].stream() {
				continue
			}
			all++
			if len(s.Replica) > len(prefix) && s.Replica[:len(prefix)] == prefix {
				fresh++
			}
		}
	}
	r.mu.Unlock()
	if float64(fresh) > exposureShare*float64(all)+exposureSlack {
		r.fail("exposure", "", fmt.Sprintf("a bad version got %d of %d requests", fresh, all))
	}
}
