package drain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind/internal/core/drain"
)

func TestPlan(t *testing.T) {
	plan := drain.Plan{Grace: 8 * time.Second, AnswerTTL: time.Second}
	tests := map[string]struct {
		elapsed, idle time.Duration
		active        int64
		limit         time.Duration
		ends, done    bool
	}{
		"just begun":                  {0, time.Second, 0, 0, false, false},
		"idle, but callers may come":  {3400 * time.Millisecond, 3 * time.Second, 0, 4200 * time.Millisecond, false, false},
		"settled and idle":            {3600 * time.Millisecond, time.Second, 0, 4 * time.Second, false, true},
		"settled, work has just come": {5 * time.Second, 100 * time.Millisecond, 0, 2600 * time.Millisecond, false, false},
		"long work":                   {7500 * time.Millisecond, 0, 3, 100 * time.Millisecond, false, false},
		"work at the end":             {7650 * time.Millisecond, 0, 3, time.Millisecond, false, false},
		"last work has ended":         {7650 * time.Millisecond, 0, 0, time.Millisecond, false, true},
		"work is ended":               {7690 * time.Millisecond, 0, 3, time.Millisecond, true, false},
		"just before the kill":        {7800 * time.Millisecond, 0, 3, time.Millisecond, true, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(plan.MaxWork(c.elapsed), c.limit)
			is.Equal(plan.EndsCalls(c.elapsed), c.ends)
			is.Equal(plan.Done(c.elapsed, c.idle, c.active), c.done)
		})
	}
}

func TestMaxWait(t *testing.T) {
	plan := drain.Plan{Grace: 4 * time.Second, AnswerTTL: time.Second}
	tests := map[string]struct{ elapsed, want time.Duration }{
		"idle early":         {3500 * time.Millisecond, 300 * time.Millisecond},
		"work until its end": {3750 * time.Millisecond, 50 * time.Millisecond},
		"late":               {3900 * time.Millisecond, 0},
		"too late":           {5 * time.Second, 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(plan.MaxWait(c.elapsed), c.want)
		})
	}
}

// TestLongHint checks that the router stays up for as long as callers may cache the directory's
// answer, also with a long TTL.
func TestLongHint(t *testing.T) {
	is := is.New(t)
	plan := drain.Plan{Grace: 8 * time.Second, AnswerTTL: 2 * time.Second}
	is.True(!plan.Done(5900*time.Millisecond, time.Second, 0))
	is.True(plan.Done(6100*time.Millisecond, time.Second, 0))
}
