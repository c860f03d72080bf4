package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"jaywind/platform/standin"
)

const (
	crashesToLearn = 3 // of replicas under a request, before routers have to know it
	maxRepeats     = 3 // runs of it later than learnTime after that
)

// checkRepeats checks that a request which crashes replicas is not sent on and on by undisturbed routers; the caller holds mu. Once a replica
// has answered it, as another fault has replaced its crashes, routers take it for a sound one.
func (r *checker) checkRepeats() {
	crashes, answered := map[string][]time.Time{}, map[string]time.Time{} // answered: when first
	for id, a := range r.attempts {
		if first, known := answered[a.deadly]; a.deadly != "" && a.fromEndpoint && a.status == http.StatusOK && (!known || a.headAt.Before(first)) {
			answered[a.deadly] = a.headAt
		}
		for _, s := range r.events[id] {
			if a.deadly != "" && s.Kind == "crash" {
				crashes[a.deadly] = append(crashes[a.deadly], time.UnixMilli(s.UnixMilli))
			}
		}
	}
	for body, all := range crashes {
		slices.SortFunc(all, time.Time.Compare)
		if len(all) < crashesToLearn {
			continue
		}
		known, last, runs := all[crashesToLearn-1].Add(learnTime), "", 0
		for id, a := range r.attempts {
			if a.deadly == body && slices.ContainsFunc(r.events[id], func(s standin.RunEvent) bool {
				at := time.UnixMilli(s.UnixMilli)
				first, sound := answered[body]
				return s.Kind == "run" && at.After(known) && (!sound || at.Before(first)) && !a.router.disturbed(at.Add(-learnTime), at, 0)
			}) {
				last, runs = id, runs+1
			}
		}
		_, _ = fmt.Fprintf(r.out, "request %s: %d crashes, %d later runs\n", body, len(all), runs)
		if runs > maxRepeats {
			r.violations = append(r.violations, Violation{"repeat", last, fmt.Sprintf("a request reached replicas %d times %v after the third of its %d crashes", runs, learnTime, len(all))})
		}
	}
}

// checkHeldBack checks that routers have kept back no sound request as one that crashes replicas; the caller holds mu.
func (r *checker) checkHeldBack() {
	for _, id := range r.fleet.heldBack() {
		if a := r.attempts[id]; a != nil && a.deadly == "" && a.part == "" {
			r.violations = append(r.violations, Violation{"sound", id, "a sound request was refused as one that crashes replicas"})
			return
		}
	}
}
