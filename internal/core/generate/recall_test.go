package generate_test

import (
	"testing"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/generate"
	"jaywind/internal/core/table"
	"jaywind/internal/fleet/journal"
)

// TestRouterIsLost brings the caller to another router without the tokens before its bookmark.
func TestRouterIsLost(t *testing.T) {
	tests := map[string]struct {
		read   int  // tokens read by then; 0 for a caller without a bookmark
		engine bool // dies with the router
		alike  bool // replicas make the same tokens
		blank  bool // nobody keeps a record
		twice  bool // the caller connects again at once
		want   table.Outcome
	}{
		"engine goes on":                          {read: 30, want: table.OutcomeWhole},
		"engine goes on, nobody keeps a record":   {read: 30, blank: true, want: table.OutcomeWhole},
		"engine dies, replicas alike":             {read: 30, engine: true, alike: true, want: table.OutcomeWhole},
		"engine dies, replicas alike, much read":  {read: 99, engine: true, alike: true, want: table.OutcomeWhole},
		"engine dies, replicas differ":            {read: 30, engine: true, want: table.OutcomeMismatch},
		"engine dies, nobody keeps a record":      {read: 90, engine: true, alike: true, blank: true, want: table.OutcomeMismatch},
		"caller connects twice":                   {read: 30, twice: true, want: table.OutcomeWhole},
		"caller connects twice, nobody keeps any": {read: 30, twice: true, blank: true, want: table.OutcomeWhole},
		"nothing read, engine goes on":            {want: table.OutcomeWhole},
		"nothing read, engine dies":               {engine: true, want: table.OutcomeWhole},
		"nothing read, nobody keeps a record":     {blank: true, want: table.OutcomeWhole},
		"last token read, engine goes on":         {read: 100, want: table.OutcomeWhole},
		"last token read, nobody keeps a record":  {read: 100, blank: true, want: table.OutcomeWhole},
		"first token read, engine dies":           {read: 1, engine: true, alike: true, want: table.OutcomeWhole},
		"first token read, replicas differ":       {read: 1, engine: true, want: table.OutcomeMismatch},
		"first token read, nobody keeps a record": {read: 1, blank: true, want: table.OutcomeWhole},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, 2)
			w.limit = 100
			for _, e := range w.engines {
				if c.alike {
					e.salt = 0
				}
			}
			w.ask("r1", 0, false)
			for len(w.callers["r1"].tokens) < max(c.read, 1) {
				w.beat()
			}
			if c.read == 0 { // the token was delivered but never read
				w.callers["r1"].tokens = nil
				w.callers["r1"].mark = jaywind.Bookmark{}
			}
			w.routers[0].lost = true
			if c.blank {
				w.keepers = map[jaywind.VM]*journal.Book{"vm7": {}}
			}
			if c.engine {
				faults["engine dies with reset"](w, w.current())
			}
			w.ask("r1", 1, false)
			if c.twice {
				w.ask("r1", 1, false)
			}
			play(w, func() {})
			got := w.callers["r1"]
			is.Equal(len(got.finals), 1)
			is.Equal(got.finals[0].Outcome, c.want)
			if c.want == table.OutcomeWhole {
				is.Equal(len(got.tokens), w.limit)
				is.True(got.longest <= generate.ResumeTarget)
			}
		})
	}
}

// TestJournalIsForgotten checks that records go when their requests end.
func TestJournalIsForgotten(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.limit = 100
	w.ask("r1", 0, false)
	kept := 0
	play(w, func() {
		kept = 0
		for _, b := range w.keepers {
			if _, err := b.Recall("r1"); err == nil {
				kept++
			}
		}
	})
	is.Equal(kept, 2) // two peers while it ran
	for _, b := range w.keepers {
		_, err := b.Recall("r1")
		is.Equal(err, jaywind.ErrAbsent)
	}
	is.Equal(len(w.routers[0].core.State.Journal.Rows), 0)
}

// TestOldRouterCancelsInVain lets a router that the caller has left end its work after the caller went on elsewhere.
func TestOldRouterCancelsInVain(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 2)
	w.limit = 400
	w.ask("r1", 0, false)
	for len(w.callers["r1"].tokens) < 10 {
		w.beat()
	}
	w.leave()
	faults["connection is reset"](w, w.current())
	for range 20 {
		w.beat() // the old router opens another attempt
	}
	opens := w.opens
	w.ask("r1", 1, true)
	play(w, func() {})
	check(t, w, generate.ResumeTarget)
	is.Equal(w.opens, opens+1) // the new router's stream was never cut
}
