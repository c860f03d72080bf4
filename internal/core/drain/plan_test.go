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
		gone, quiet time.Duration
		active      int64
		brief       time.Duration
		over        bool
	}{
		"just begun":                  {0, time.Second, 0, 0, false},
		"idle, but callers may come":  {3400 * time.Millisecond, 3 * time.Second, 0, 4200 * time.Millisecond, false},
		"settled and idle":            {3600 * time.Millisecond, time.Second, 0, 4 * time.Second, true},
		"settled, work has just come": {5 * time.Second, 100 * time.Millisecond, 0, 2600 * time.Millisecond, false},
		"long work":                   {7500 * time.Millisecond, 0, 3, 100 * time.Millisecond, false},
		"work at the end":             {7650 * time.Millisecond, 0, 3, time.Millisecond, false},
		"last work has ended":         {7650 * time.Millisecond, 0, 0, time.Millisecond, true},
		"the kill is near":            {7800 * time.Millisecond, 0, 3, time.Millisecond, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(plan.MaxWork(c.gone), c.brief)
			is.Equal(plan.Done(c.gone, c.quiet, c.active), c.over)
		})
	}
}

// TestLongHint: where callers keep an answer for longer, the router stays for as long as some of them do.
func TestLongHint(t *testing.T) {
	is := is.New(t)
	plan := drain.Plan{Grace: 8 * time.Second, AnswerTTL: 2 * time.Second}
	is.True(!plan.Done(5900*time.Millisecond, time.Second, 0))
	is.True(plan.Done(6100*time.Millisecond, time.Second, 0))
}
