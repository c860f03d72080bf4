package move

import (
	"testing"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/table"
)

// TestConviction checks which failing replicas prove the new version bad; the replicas in each case only fail.
func TestConviction(t *testing.T) {
	tests := map[string]struct {
		replicas  []jaywind.EndpointID
		old       table.OutcomeCounts // in each window
		windows   int
		provesBad bool
	}{
		"one replica":                      {replicas: []jaywind.EndpointID{"e7"}, windows: 100},
		"both replicas of a domain":        {replicas: []jaywind.EndpointID{"e7", "e10"}, windows: 100},
		"two domains":                      {replicas: []jaywind.EndpointID{"e7", "e8"}, windows: 10, provesBad: true},
		"two domains, the old version too": {replicas: []jaywind.EndpointID{"e7", "e8"}, old: table.OutcomeCounts{Good: 3, Bad: 20}, windows: 10},
		"two domains, a moment":            {replicas: []jaywind.EndpointID{"e7", "e8"}, windows: 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newSimulator(t)
			b.step()
			m := b.move()
			pair := table.RouteMeasure{Route: "risk"}
			worst := 0.0
			for range c.windows {
				m.Evidence.Pending[table.OutcomeKey{RouteMeasure: pair}] = c.old
				for _, id := range c.replicas {
					one := table.OutcomeCounts{Bad: 5, BadBySource: map[table.Source]uint64{table.Source(id): 5}}
					addOutcomes(m.Evidence.Pending, table.OutcomeKey{RouteMeasure: pair, New: true}, one, 0)
				}
				w, _ := closeWindow(b.state, m)
				worst = max(worst, w)
			}
			is.Equal(worst >= 1, c.provesBad)
		})
	}
}
