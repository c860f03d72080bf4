package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"jaywind/platform/standin"
)

const (
	rolloutTimeout = 8 * time.Second // limit that the operator sets for a roll-out
	rolloutMargin  = 2 * time.Second // for its final state to be stored
	exposureShare  = 0.1             // share of the requests that a bad version may get, as in routerSettings
	exposureExtra  = 50              // further requests that it may get, as in routerSettings
)

// rollOut starts replicas of a new version of the plain service, requests a roll-out and waits for its end. Then it does what
// the platform does: it replaces the old replicas if the roll-out completed, and drains the new ones.
func (n *injector) rollOut(ctx context.Context, bad bool) {
	if !n.rolloutLock.TryLock() {
		return
	}
	defer n.rolloutLock.Unlock()
	f := n.fleet
	n.rollouts++
	version := fmt.Sprintf("v%d", n.rollouts+1)
	var newReplicas []*replica
	defer func() {
		for _, r := range newReplicas {
			r.kill()
			r.proxy.close()
		}
	}()
	for i := range f.size.Plain {
		r, err := f.newReplica(fmt.Sprintf("new%d-%d", n.rollouts, i), "desk", version, i, bad)
		if err != nil {
			n.checker.report("start", "", fmt.Sprintf("replica of version %s did not start: %v", version, err))
			return
		}
		newReplicas = append(newReplicas, r)
	}
	time.Sleep(3 * standin.HeartbeatInterval) // until they are registered
	requestedAt := time.Now()
	if err := f.operator().RollOut("desk", version, rolloutTimeout); err != nil {
		n.checker.logf("store refused the roll-out of version %s: %v", version, err)
		return
	}
	n.orderLock.Lock()
	n.order = version
	n.orderLock.Unlock()
	state := n.awaitRollout(ctx, version)
	n.checker.logf("roll-out of version %s, failing %v: state %q after %v", version, bad, state, time.Since(requestedAt).Round(time.Millisecond))
	if bad {
		n.checker.checkExposure(fmt.Sprintf("i-new%d-", n.rollouts), requestedAt)
	}
	switch {
	case state == "completed" && bad:
		n.checker.report("rollout", "", "the roll-out of a version that fails all requests was completed")
	case state == "completed":
		n.replaceReplicas(version)
	}
	for _, r := range newReplicas {
		if err := standin.Post("http://"+r.address+"/drain", nil); err != nil {
			n.checker.logf("%s refused to drain: %v", r.name, err)
		}
	}
	time.Sleep(drainTime + time.Second)
}

// writeRolloutAgain writes the last order again, after the store may have lost it.
func (n *injector) writeRolloutAgain() {
	n.orderLock.Lock()
	defer n.orderLock.Unlock()
	if n.order != "" {
		n.logRefused("the order again", n.fleet.operator().RollOut("desk", n.order, rolloutTimeout))
	}
}

// awaitRollout waits for the end of a roll-out and returns its state, or its last known state on timeout.
func (n *injector) awaitRollout(ctx context.Context, version string) string {
	state := ""
	for end := time.Now().Add(rolloutTimeout + rolloutMargin); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(100 * time.Millisecond) {
		if s := n.fleet.operator().RollOutState("desk", version); s != "" {
			state = s
		}
		if state == "completed" || state == "rolled_back" {
			return state
		}
	}
	return state
}

// replaceReplicas kills the old replicas and restarts each with the new version.
func (n *injector) replaceReplicas(version string) {
	for _, r := range n.fleet.replicas[n.fleet.size.Engines:] {
		if !r.claim() {
			continue // another fault has claimed it and restarts it with its old version
		}
		end := r.disturb()
		r.signal(syscall.SIGKILL)
		r.waitExit(maxFaultTime)
		r.version = version
		r.setArguments(n.fleet, true)
		n.restart(&r.process)
		end()
		r.release()
	}
}

// checkExposure checks how many requests replicas of a bad version have got since the roll-out was requested.
// Their ids start with prefix.
func (r *checker) checkExposure(prefix string, requestedAt time.Time) {
	time.Sleep(drainTime) // for the last events to be read
	r.mu.Lock()
	all, newRuns := 0, 0
	for _, events := range r.events {
		for _, s := range events {
			if s.Kind != "run" || time.UnixMilli(s.UnixMilli).Before(requestedAt) || r.attempts[s.AttemptID] != nil && r.attempts[s.AttemptID].isStream() {
				continue
			}
			all++
			if len(s.Replica) > len(prefix) && s.Replica[:len(prefix)] == prefix {
				newRuns++
			}
		}
	}
	r.mu.Unlock()
	if float64(newRuns) > exposureShare*float64(all)+exposureExtra {
		r.report("exposure", "", fmt.Sprintf("a bad version got %d of %d requests", newRuns, all))
	}
}
