package silence_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/silence"
)

// TestSurvey checks which silences count as common: those of at least a third of the engines that should speak, in several failure domains.
func TestSurvey(t *testing.T) {
	tests := map[string]struct {
		silent, heard map[jaywind.Domain]int // engines
		common        bool
	}{
		"all":                     {map[jaywind.Domain]int{"a": 4, "b": 4}, nil, true},
		"most":                    {map[jaywind.Domain]int{"a": 3, "b": 2}, map[jaywind.Domain]int{"a": 1, "b": 2}, true},
		"one of many":             {map[jaywind.Domain]int{"a": 1}, map[jaywind.Domain]int{"a": 3, "b": 4}, false},
		"a third, in two domains": {map[jaywind.Domain]int{"a": 1, "b": 1}, map[jaywind.Domain]int{"a": 2, "b": 2}, true},
		"two of many":             {map[jaywind.Domain]int{"a": 1, "b": 1}, map[jaywind.Domain]int{"a": 3, "b": 3}, false},
		"a failure domain":        {map[jaywind.Domain]int{"a": 4}, map[jaywind.Domain]int{"b": 2, "c": 2}, false},
		"the only failure domain": {map[jaywind.Domain]int{"a": 4}, nil, true},
		"the only engine":         {map[jaywind.Domain]int{"a": 1}, nil, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var tr silence.Tracker
			start := time.Unix(1, 0)
			now := start.Add(time.Second)
			begin := func(prefix string, all map[jaywind.Domain]int, heardAt time.Time) {
				for d, n := range all {
					for i := range n {
						id := jaywind.EndpointID(fmt.Sprint(prefix, d, i))
						tr.Begin(id, d, start)
						tr.Hear(id, heardAt)
					}
				}
			}
			begin("silent", c.silent, now.Add(-400*time.Millisecond))
			begin("heard", c.heard, now.Add(-50*time.Millisecond))
			var own jaywind.EndpointID
			for d := range c.silent {
				own = jaywind.EndpointID(fmt.Sprint("silent", d, 0))
			}
			s := tr.Survey(own, now)
			is.Equal(s.IsCommon(), c.common)
			is.Equal(s.Silence, 400*time.Millisecond)
		})
	}
}

// TestLeftEnginesStaySilent fails if engines no longer count as silent once all streams have left them, or still count once they answer.
func TestLeftEnginesStaySilent(t *testing.T) {
	is := is.New(t)
	var tr silence.Tracker
	start := time.Unix(1, 0)
	for i, d := range []jaywind.Domain{"a", "b", "c"} {
		tr.Begin(jaywind.EndpointID(fmt.Sprint("e", i)), d, start)
	}
	now := start.Add(400 * time.Millisecond)
	tr.End("e1", true, now)
	tr.End("e2", false, now) // at the end of its answer
	is.True(tr.Survey("e0", now).IsCommon())
	is.Equal(tr.Survey("e0", now).Silent, 2)
	tr.Hear("e1", now)
	is.True(!tr.Survey("e0", now).IsCommon())
	tr.Hear("e0", now)
	is.True(tr.IsHeard("e0", start))
}
