package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/rollout"
)

// TestLedger: each order begins with what the one before has shown of the versions. The test fails if a version that was on trial, or
// was rolled back, counts as one in use, or if a version in use is forgotten.
func TestLedger(t *testing.T) {
	type ledger = rollout.Ledger
	state := func(target jaywind.Version, p rollout.Phase, l ledger) rollout.State {
		return rollout.State{Target: target, Phase: p, Ledger: l}
	}
	inUse, withdrawn, rejected := rollout.StandingInUse, rollout.StandingWithdrawn, rollout.StandingRejected
	oldInUse := ledger{{"v1", inUse}}
	tests := map[string]struct {
		previous rollout.State
		target   jaywind.Version
		present  []jaywind.Version
		want     ledger
	}{
		"first order":                            {rollout.State{}, "v2", []jaywind.Version{"v1"}, oldInUse},
		"first order, both known":                {rollout.State{}, "v2", []jaywind.Version{"v1", "v2"}, oldInUse},
		"first order, only its version is known": {rollout.State{}, "v1", []jaywind.Version{"v1"}, nil},
		"first order, no endpoint known yet":     {rollout.State{}, "v2", nil, nil},
		"the old version, during the trial":      {state("v2", rollout.PhaseCanary, oldInUse), "v1", nil, ledger{{"v1", inUse}, {"v2", withdrawn}}},
		"a third one, at the full load":          {state("v2", rollout.PhaseShift, oldInUse), "v3", nil, ledger{{"v1", inUse}, {"v2", withdrawn}}},
		"the next one, after a roll-back":        {state("v2", rollout.PhaseRolledBack, oldInUse), "v3", nil, ledger{{"v1", inUse}, {"v2", rejected}}},
		"the next one, after the end":            {state("v2", rollout.PhaseDone, oldInUse), "v3", nil, ledger{{"v2", inUse}}},
		"the old version, after the end":         {state("v2", rollout.PhaseDone, oldInUse), "v1", nil, ledger{{"v2", inUse}}},
		"the same version":                       {state("v2", rollout.PhaseCanary, oldInUse), "v2", nil, oldInUse},
		"the next one, while going back": {state("v1", rollout.PhaseShift, ledger{{"v1", inUse}, {"v2", withdrawn}}), "v3", nil,
			ledger{{"v1", inUse}, {"v2", withdrawn}}},
		"a rejected one stays, after the end of another": {state("v3", rollout.PhaseDone, ledger{{"v1", inUse}, {"v2", rejected}}), "v4", nil,
			ledger{{"v2", rejected}, {"v3", inUse}}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(rollout.After(c.previous, c.target, c.present), c.want)
		})
	}
}

// TestLedgerIsBounded: a service sees many versions. The test fails if the ledger outgrows a value of the store, or forgets the version in use.
func TestLedgerIsBounded(t *testing.T) {
	is := is.New(t)
	state := rollout.State{}
	for i := range 200 {
		target := jaywind.Version(fmt.Sprint("version ", i))
		state = rollout.State{Target: target, Phase: rollout.PhaseRolledBack, Ledger: rollout.After(state, target, []jaywind.Version{"old"})}
	}
	is.True(len(state.Ledger) <= 32)
	is.Equal(state.Ledger.Of("old"), rollout.StandingInUse)
	is.Equal(state.Ledger.Of("version 198"), rollout.StandingRejected)
}

// TestShorten: an order for the version that is being rolled out comes again. The test fails if an earlier deadline is not kept, or if an order
// that is only read again puts the deadline off.
func TestShorten(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, c := range map[string]struct{ at, duration, want time.Duration }{
		"read again":         {10 * time.Second, 30 * time.Second, 30 * time.Second},
		"an earlier end":     {10 * time.Second, 15 * time.Second, 25 * time.Second},
		"a later end":        {10 * time.Second, time.Minute, 30 * time.Second},
		"the same end again": {10 * time.Second, 20 * time.Second, 30 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			r := rollout.New(rollout.Order{Target: "v2", Duration: 30 * time.Second, ReceivedAt: start}, rollout.Bounds{}, nil)
			r.Shorten(rollout.Order{Target: "v2", Duration: c.duration, ReceivedAt: start.Add(c.at)})
			is.New(t).Equal(r.Order.Duration, c.want)
		})
	}
}
