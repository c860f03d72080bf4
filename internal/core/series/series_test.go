package series_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jaywind"
	"jaywind/internal/core/series"
)

func TestCursor(t *testing.T) {
	tests := map[string]struct {
		start series.Cursor
		ids   []int64
		want  []series.Verdict
	}{
		"from 1":        {series.Cursor{}, []int64{1, 2, 3}, []series.Verdict{series.Accept, series.Accept, series.Accept}},
		"from 0":        {series.Cursor{}, []int64{0, 1}, []series.Verdict{series.Accept, series.Accept}},
		"late start":    {series.Cursor{}, []int64{2}, []series.Verdict{series.Gap}},
		"caller's mark": {series.CursorAfter(7), []int64{8, 9}, []series.Verdict{series.Accept, series.Accept}},
		"overlap":       {series.CursorAfter(7), []int64{6, 7, 8}, []series.Verdict{series.Duplicate, series.Duplicate, series.Accept}},
		"gap":           {series.CursorAfter(7), []int64{9, 8}, []series.Verdict{series.Gap, series.Accept}},
		"again":         {series.Cursor{}, []int64{1, 1, 2}, []series.Verdict{series.Accept, series.Duplicate, series.Accept}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			cursor := c.start
			var got []series.Verdict
			for _, id := range c.ids {
				got = append(got, cursor.Check(id))
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
			if cursor.Check(id) != series.Accept {
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
		plan    series.ResumePlan
		runs    int // before the last failure
		misses  int // attempts without a run, after the runs and before the last failure
		failure series.Failure
		copied  bool
		want    series.Action
	}{
		"broken, with a copy":            {series.ResumePlan{Retryable: true, MaxAttempts: 5}, 1, 0, series.FailureBroken, true, series.ActionUseCopy},
		"broken, without":                {series.ResumePlan{Retryable: true, MaxAttempts: 5}, 1, 0, series.FailureBroken, false, series.ActionRestart},
		"silent, with a copy":            {series.ResumePlan{Retryable: true, MaxAttempts: 5}, 1, 0, series.FailureSilent, true, series.ActionUseCopy},
		"no copy there":                  {series.ResumePlan{Retryable: true, MaxAttempts: 5}, 1, 0, series.FailureNoCopy, true, series.ActionRestart},
		"all attempts used":              {series.ResumePlan{Retryable: true, MaxAttempts: 2}, 2, 0, series.FailureBroken, true, series.ActionGiveUp},
		"begun, may run once":            {series.ResumePlan{MaxAttempts: 2, Begun: true}, 2, 0, series.FailureBroken, true, series.ActionGiveUp},
		"may run once, broken":           {series.ResumePlan{MaxAttempts: 5}, 1, 0, series.FailureBroken, true, series.ActionGiveUp},
		"may run once, not run":          {series.ResumePlan{MaxAttempts: 5}, 0, 0, series.FailureNotRun, false, series.ActionRestart},
		"may run once, not sent":         {series.ResumePlan{MaxAttempts: 5}, 0, 0, series.FailureNotSent, false, series.ActionRestart},
		"no endpoint takes it":           {series.ResumePlan{Retryable: true, MaxAttempts: 5}, 0, 4, series.FailureNotRun, false, series.ActionGiveUp},
		"begun, no endpoint takes it":    {series.ResumePlan{Retryable: true, MaxAttempts: 5, Begun: true}, 1, 9, series.FailureNotRun, false, series.ActionRestart},
		"begun, all endpoints used":      {series.ResumePlan{Retryable: true, MaxAttempts: 2, Begun: true}, 2, 0, series.FailureBroken, true, series.ActionUseCopy},
		"misses of before a run are old": {series.ResumePlan{Retryable: true, MaxAttempts: 5}, 1, 0, series.FailureNotRun, false, series.ActionRestart},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			for i := range c.runs {
				c.plan.RunStarted(jaywind.EndpointID(fmt.Sprint("e", i)))
			}
			for range c.misses {
				c.plan.AfterFailure(series.FailureNotRun, false)
			}
			is.New(t).Equal(c.plan.AfterFailure(c.failure, c.copied), c.want)
		})
	}
}

// TestSilenceLeavesTimeToGoOn checks that the wait for an event and the resumption from a copy together
// fit into the longest allowed pause.
func TestSilenceLeavesTimeToGoOn(t *testing.T) {
	is := is.New(t)
	const pause = 700 * time.Millisecond
	for gap := time.Duration(0); gap < 2*time.Second; gap += 10 * time.Millisecond {
		limit := series.SilenceTimeout(gap, pause)
		is.True(limit <= pause-200*time.Millisecond)
		is.True(limit >= 300*time.Millisecond) // an engine prefills other prompts between two events
	}
}

// TestBackoff fails if a stream that no endpoint takes is retried without a pause for as long as it waits.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	p := series.ResumePlan{Retryable: true, MaxAttempts: 5, Begun: true}
	p.RunStarted("e1")
	waited, before := time.Duration(0), time.Duration(0)
	attempts := 0
	for ; waited < 20*time.Second; attempts++ {
		is.Equal(p.AfterFailure(series.FailureNotRun, false), series.ActionRestart)
		is.True(p.Backoff() >= before) // never shorter than the pause before
		before = p.Backoff()
		waited += before
	}
	is.True(attempts < 40)
	p.RunStarted("e1")
	is.Equal(p.Backoff(), time.Duration(0)) // the next failure is answered at once
}

// TestUnsentAttempts guards against a stream that is refused because five endpoints that have just crashed are still listed, although
// others run, and against one that tries endpoints without end.
func TestUnsentAttempts(t *testing.T) {
	is := is.New(t)
	p := series.ResumePlan{Retryable: true, MaxAttempts: 5}
	for range 5 {
		is.Equal(p.AfterFailure(series.FailureNotSent, false), series.ActionRestart)
	}
	is.Equal(p.AfterFailure(series.FailureNotRun, false), series.ActionGiveUp) // an endpoint that refuses a sixth attempt has no room
	q := series.ResumePlan{MaxAttempts: 1}
	attempts := 0
	for attempts < 100 && q.AfterFailure(series.FailureNotSent, false) == series.ActionRestart {
		attempts++
	}
	is.Equal(attempts, 8)
}

// TestLimitedAttempts fails if endpoints whose limits are used up end a stream, or are tried again and again without a pause.
func TestLimitedAttempts(t *testing.T) {
	is := is.New(t)
	begun := series.ResumePlan{Retryable: true, MaxAttempts: 2, Begun: true}
	for range 20 {
		is.Equal(begun.AfterFailure(series.FailureLimited, false), series.ActionRestart)
	}
	is.True(begun.Backoff() > time.Second)
	fresh := series.ResumePlan{MaxAttempts: 1} // it asks one endpoint after the other, and is refused if all are limited
	for range 20 {
		is.Equal(fresh.AfterFailure(series.FailureLimited, false), series.ActionRestart)
	}
	is.Equal(fresh.Backoff(), time.Duration(0))
}

// TestConfinedStream fails if a stream runs at more endpoints than its route allows, may not go back to those that it has used, or loses
// run after run without a pause.
func TestConfinedStream(t *testing.T) {
	is := is.New(t)
	p := series.ResumePlan{Retryable: true, MaxAttempts: 3, Begun: true}
	waited, before := time.Duration(0), time.Duration(0)
	for i, at := range []jaywind.EndpointID{"e1", "e2", "e2", "e3", "e1", "e2", "e3", "e1"} {
		is.Equal(p.Confined() != nil, i >= 4) // after three endpoints
		p.RunStarted(at)
		is.Equal(p.AfterFailure(series.FailureBroken, false), series.ActionRestart)
		is.True(p.Backoff() >= before)
		before = p.Backoff()
		waited += before
	}
	is.Equal(p.Confined(), []jaywind.EndpointID{"e1", "e2", "e3"})
	is.True(waited > 5*time.Second)
	p.RunSurvived()
	p.AfterFailure(series.FailureBroken, false)
	is.Equal(p.Backoff(), time.Duration(0))

	is.Equal((&series.ResumePlan{Retryable: true, MaxAttempts: 3}).Patience("e1"), time.Duration(0))
	is.True((&series.ResumePlan{Retryable: true, MaxAttempts: 2}).Patience("e1") > time.Second) // the next one is the last
}
