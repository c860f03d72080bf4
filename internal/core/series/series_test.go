package series_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jaywind/internal/core/series"
)

func TestCursor(t *testing.T) {
	tests := map[string]struct {
		start series.Cursor
		ids   []int64
		want  []series.Verdict
	}{
		"from 1":        {series.Cursor{}, []int64{1, 2, 3}, []series.Verdict{series.Next, series.Next, series.Next}},
		"from 0":        {series.Cursor{}, []int64{0, 1}, []series.Verdict{series.Next, series.Next}},
		"late start":    {series.Cursor{}, []int64{2}, []series.Verdict{series.Gap}},
		"caller's mark": {series.From(7), []int64{8, 9}, []series.Verdict{series.Next, series.Next}},
		"overlap":       {series.From(7), []int64{6, 7, 8}, []series.Verdict{series.Seen, series.Seen, series.Next}},
		"gap":           {series.From(7), []int64{9, 8}, []series.Verdict{series.Gap, series.Next}},
		"again":         {series.Cursor{}, []int64{1, 1, 2}, []series.Verdict{series.Next, series.Seen, series.Next}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			cursor := c.start
			var got []series.Verdict
			for _, id := range c.ids {
				got = append(got, cursor.Take(id))
			}
			is.New(t).Equal(got, c.want)
		})
	}
}

// TestEachEventOnce checks that the forwarded events are the sequence without gaps or repeats, whatever
// ids endpoints send and in whatever order.
func TestEachEventOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var cursor series.Cursor
		next := int64(1)
		for _, id := range rapid.SliceOf(rapid.Int64Range(1, 20)).Draw(t, "ids") {
			if cursor.Take(id) != series.Next {
				continue
			}
			if id != next {
				t.Fatalf("forwarded event %d, want %d", id, next)
			}
			next++
		}
	})
}

func TestPlan(t *testing.T) {
	tests := map[string]struct {
		plan   series.Plan
		runs   int // before the last failure
		misses int // attempts without a run, after the runs and before the last failure
		loss   series.Loss
		copied bool
		want   series.Step
	}{
		"broken, with a copy":            {series.Plan{Repeatable: true, Attempts: 5}, 1, 0, series.LossBroken, true, series.StepCopy},
		"broken, without":                {series.Plan{Repeatable: true, Attempts: 5}, 1, 0, series.LossBroken, false, series.StepFresh},
		"silent, with a copy":            {series.Plan{Repeatable: true, Attempts: 5}, 1, 0, series.LossSilent, true, series.StepCopy},
		"no copy there":                  {series.Plan{Repeatable: true, Attempts: 5}, 1, 0, series.LossNoCopy, true, series.StepFresh},
		"all attempts used":              {series.Plan{Repeatable: true, Attempts: 2}, 2, 0, series.LossBroken, true, series.StepEnd},
		"may run once, broken":           {series.Plan{Attempts: 5}, 1, 0, series.LossBroken, true, series.StepEnd},
		"may run once, not run":          {series.Plan{Attempts: 5}, 0, 0, series.LossNotRun, false, series.StepFresh},
		"may run once, not sent":         {series.Plan{Attempts: 5}, 0, 0, series.LossUnsent, false, series.StepFresh},
		"no endpoint takes it":           {series.Plan{Repeatable: true, Attempts: 5}, 0, 4, series.LossNotRun, false, series.StepEnd},
		"misses of before a run are old": {series.Plan{Repeatable: true, Attempts: 5}, 1, 0, series.LossNotRun, false, series.StepFresh},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			for range c.runs {
				c.plan.Began()
			}
			for range c.misses {
				c.plan.Lost(series.LossNotRun, false)
			}
			is.New(t).Equal(c.plan.Lost(c.loss, c.copied), c.want)
		})
	}
}

// TestSilenceLeavesTimeToGoOn checks that the wait for an event and the resumption from a copy together
// fit into the longest allowed pause.
func TestSilenceLeavesTimeToGoOn(t *testing.T) {
	is := is.New(t)
	const pause = 700 * time.Millisecond
	for gap := time.Duration(0); gap < 2*time.Second; gap += 10 * time.Millisecond {
		limit := series.Silence(gap, pause)
		is.True(limit <= pause-200*time.Millisecond)
		is.True(limit >= 300*time.Millisecond) // an engine prefills other prompts between two events
	}
}
