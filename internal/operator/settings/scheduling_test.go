package settings

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestScheduling guards against a value that is absent and taken for 0 or false, and against values without a finding that serve
// requests worse than none.
func TestScheduling(t *testing.T) {
	tests := map[string]struct {
		text       string // in the section
		priorities bool
		uneven     float64
		hedge      float64
		want       string // start of the finding's place and text; none when empty
	}{
		"absent":                {"", true, 1.5, 0, ""},
		"all":                   {"priorities = false\nuneven = 2.0\nhedge = 0.05", false, 2, 0.05, ""},
		"as by default":         {"priorities = true\nuneven = 1.5\nhedge = 0.0", true, 1.5, 0, ""},
		"never uneven":          {"uneven = 0", true, 0, 0, ""},
		"whole numbers":         {"uneven = 2\nhedge = 0", true, 2, 0, ""},
		"limits":                {"uneven = 1.1\nhedge = 0.2", true, 1.1, 0.2, ""},
		"hedge is too large":    {"hedge = 0.21", true, 1.5, 0.21, "2:1: platform.scheduling.hedge: want a share from 0 to 0.2, got 0.21"},
		"hedge is negative":     {"hedge = -0.01", true, 1.5, -0.01, "2:1: platform.scheduling.hedge: want a share from 0 to 0.2, got -0.01"},
		"uneven is too small":   {"uneven = 1.05", true, 1.05, 0, "2:1: platform.scheduling.uneven: want 0 or a factor of at least 1.1, got 1.05"},
		"uneven is negative":    {"priorities = true\nuneven = -1", true, -1, 0, "3:1: platform.scheduling.uneven: want 0 or a factor of at least 1.1, got -1"},
		"uneven has no end":     {"uneven = inf", true, 0, 0, "2:1: platform.scheduling.uneven: want 0 or a factor"},
		"hedge is no number":    {"hedge = nan", true, 1.5, 0, "2:1: platform.scheduling.hedge: want a share from 0 to 0.2, got NaN"},
		"priorities are a text": {`priorities = "yes"`, true, 1.5, 0, "2:14: cannot decode"},
		"unknown key":           {"hedges = 0.1", true, 1.5, 0, "2:1: unknown key platform.scheduling.hedges"},
	}
	sound := render(t, nil)
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, findings := Parse("f", sound+"\n[platform.scheduling]\n"+c.text+"\n")
			if c.want != "" {
				is.Equal(len(findings), 1)
				f := findings[0]
				f.Line -= strings.Count(sound, "\n") + 1
				t.Log(f)
				is.True(strings.HasPrefix(f.String(), "f:"+c.want))
				return
			}
			is.Equal(len(findings), 0)
			is.Equal(s.Platform.Scheduling.UsesPriorities(), c.priorities)
			is.Equal(s.Platform.Scheduling.UnevenFactor(), c.uneven)
			is.Equal(s.Platform.Scheduling.Hedge, c.hedge)
		})
	}
}

// TestZeroScheduling guards against settings that were not parsed, such as those of tests, without the defaults.
func TestZeroScheduling(t *testing.T) {
	is := is.New(t)
	var s Scheduling
	is.True(s.UsesPriorities())
	is.Equal(s.UnevenFactor(), 1.5)
	is.Equal(s.PlainUnevenFactor(), 3.0)
	is.Equal(s.Hedge, 0.0)
}
