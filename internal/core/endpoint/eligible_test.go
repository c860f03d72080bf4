package endpoint_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/endpoint"
)

// TestEligible fails if a balanced choice could go to an endpoint that Choose would pass over because of its rank.
func TestEligible(t *testing.T) {
	tests := map[string]struct {
		prepare func(t *endpoint.Table)
		need    endpoint.Requirements
		want    []jaywind.EndpointID
	}{
		"all alike":     {func(*endpoint.Table) {}, need(6000), []jaywind.EndpointID{"e1", "e2", "e3"}},
		"busy":          {func(t *endpoint.Table) { t.StartCall(t.Get("e1"), need(6000)) }, need(6000), []jaywind.EndpointID{"e1", "e2", "e3"}},
		"avoided":       {func(*endpoint.Table) {}, need(6000, "e1"), []jaywind.EndpointID{"e2", "e3"}},
		"all avoided":   {func(*endpoint.Table) {}, need(6000, "e1", "e2", "e3"), []jaywind.EndpointID{"e1", "e2", "e3"}},
		"missing":       {func(t *endpoint.Table) { t.MarkMissing("e1", start) }, need(6000), []jaywind.EndpointID{"e2", "e3"}},
		"leaving":       {func(t *endpoint.Table) { leave(t, 1) }, need(6000), []jaywind.EndpointID{"e2", "e3"}},
		"all leaving":   {func(t *endpoint.Table) { leave(t, 1); leave(t, 2); leave(t, 3) }, need(6000), nil},
		"failed":        {func(t *endpoint.Table) { t.RecordFailure(t.Get("e1"), start) }, need(6000), []jaywind.EndpointID{"e2", "e3"}},
		"paused":        {func(t *endpoint.Table) { t.Pause(t.Get("e1"), time.Second, start) }, need(6000), []jaywind.EndpointID{"e2", "e3"}},
		"held":          {func(t *endpoint.Table) { t.Hold(t.Get("e1"), false, start.Add(time.Second), start) }, need(6000), []jaywind.EndpointID{"e2", "e3"}},
		"full":          {func(t *endpoint.Table) { t.StartCall(t.Get("e1"), need(46000)) }, need(6000), []jaywind.EndpointID{"e2", "e3"}},
		"other version": {func(*endpoint.Table) {}, endpoint.Requirements{Model: "m", Version: "v2"}, nil},
		"all failed": {func(t *endpoint.Table) {
			t.RecordAbsence(t.Get("e1"), start)
			t.RecordAbsence(t.Get("e2"), start)
			t.RecordFailure(t.Get("e3"), start)
		}, need(6000), []jaywind.EndpointID{"e3"}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := table()
			c.prepare(table)
			all := table.Eligible(engine, c.need, start)
			var ids []jaywind.EndpointID
			for _, e := range all {
				ids = append(ids, e.ID)
			}
			if len(all) > 0 {
				is.Equal(all[0], table.Choose(engine, c.need, start)) // the endpoint of Choose comes first
			}
			slices.Sort(ids)
			is.Equal(ids, c.want)
		})
	}
}
