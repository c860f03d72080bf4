package step

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/table"
)

func TestRulesNeverGoBack(t *testing.T) {
	tests := map[string]struct {
		versions []jaywind.RulesVersion // in order of arrival, one per tick
		together bool                   // all in a single tick
		want     jaywind.RulesVersion
	}{
		"in order":                {versions: []jaywind.RulesVersion{1, 2, 3}, want: 3},
		"an old one late":         {versions: []jaywind.RulesVersion{1, 3, 2}, want: 3},
		"the first one again":     {versions: []jaywind.RulesVersion{5, 1}, want: 5},
		"crossed in one tick":     {versions: []jaywind.RulesVersion{4, 2, 3}, together: true, want: 4},
		"same version, other set": {versions: []jaywind.RulesVersion{2, 2}, want: 2},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			core := Core{State: table.New(1)}
			now := time.Unix(1_800_000_000, 0)
			var events []table.Event
			var first *table.RulesReceived // the first event with the expected version
			for i, v := range c.versions {
				e := parseRules(t, v, twoEngines)
				if v == c.want && first == nil {
					first = &e
				}
				events = append(events, e)
				if !c.together || i == len(c.versions)-1 {
					core.Step(now, false, events)
					events = nil
				}
			}
			is.Equal(core.State.RulesVersion, c.want)
			is.True(core.State.Rules == first.Set)
		})
	}
}
