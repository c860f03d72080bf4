package generate_test

import (
	"testing"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/generate"
	"jaywind/internal/core/table"
	"jaywind/internal/fleet/journal"
)

// TestRouterIsLost reconnects a caller to another router after the loss of its own, without the tokens before
// its bookmark.
func TestRouterIsLost(t *testing.T) {
	tests := map[string]struct {
		read       int  // tokens read before the loss; 0 for a caller without a bookmark
		engineLost bool // the engine is lost with the router
		sameTokens bool // replicas generate the same tokens
		noRecord   bool // no peer holds a record
		reconnects bool // the caller connects a second time at once
		want       table.Outcome
	}{
		"engine goes on":                          {read: 30, want: table.OutcomeCompleted},
		"engine goes on, nobody keeps a record":   {read: 30, noRecord: true, want: table.OutcomeCompleted},
		"engine dies, replicas alike":             {read: 30, engineLost: true, sameTokens: true, want: table.OutcomeCompleted},
		"engine dies, replicas alike, much read":  {read: 99, engineLost: true, sameTokens: true, want: table.OutcomeCompleted},
		"engine dies, replicas differ":            {read: 30, engineLost: true, want: table.OutcomeBookmarkMismatch},
		"engine dies, nobody keeps a record":      {read: 90, engineLost: true, sameTokens: true, noRecord: true, want: table.OutcomeBookmarkMismatch},
		"caller connects twice":                   {read: 30, reconnects: true, want: table.OutcomeCompleted},
		"caller connects twice, nobody keeps any": {read: 30, reconnects: true, noRecord: true, want: table.OutcomeCompleted},
		"nothing read, engine goes on":            {want: table.OutcomeCompleted},
		"nothing read, engine dies":               {engineLost: true, want: table.OutcomeCompleted},
		"nothing read, nobody keeps a record":     {noRecord: true, want: table.OutcomeCompleted},
		"last token read, engine goes on":         {read: 100, want: table.OutcomeCompleted},
		"last token read, nobody keeps a record":  {read: 100, noRecord: true, want: table.OutcomeCompleted},
		"first token read, engine dies":           {read: 1, engineLost: true, sameTokens: true, want: table.OutcomeCompleted},
		"first token read, replicas differ":       {read: 1, engineLost: true, want: table.OutcomeBookmarkMismatch},
		"first token read, nobody keeps a record": {read: 1, noRecord: true, want: table.OutcomeCompleted},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(t, 2)
			sim.limit = 100
			for _, e := range sim.engines {
				if c.sameTokens {
					e.salt = 0
				}
			}
			sim.connect("r1", 0, false)
			for len(sim.callers["r1"].tokens) < max(c.read, 1) {
				sim.tick()
			}
			if c.read == 0 { // the token was delivered but not read
				sim.callers["r1"].tokens = nil
				sim.callers["r1"].mark = jaywind.Bookmark{}
			}
			sim.routers[0].lost = true
			if c.noRecord {
				sim.peers = map[jaywind.VM]*journal.Book{"vm7": {}}
			}
			if c.engineLost {
				faults["engine dies with reset"](sim, sim.current())
			}
			sim.connect("r1", 1, false)
			if c.reconnects {
				sim.connect("r1", 1, false)
			}
			runToEnd(sim, func() {})
			got := sim.callers["r1"]
			is.Equal(len(got.finishes), 1)
			is.Equal(got.finishes[0].Outcome, c.want)
			if c.want == table.OutcomeCompleted {
				is.Equal(len(got.tokens), sim.limit)
				is.True(got.longest <= generate.ResumeTarget)
			}
		})
	}
}

// TestJournalIsForgotten checks that peers delete the record of a request when it ends.
func TestJournalIsForgotten(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1)
	sim.limit = 100
	sim.connect("r1", 0, false)
	kept := 0
	runToEnd(sim, func() {
		kept = 0
		for _, b := range sim.peers {
			if _, err := b.Recall("r1"); err == nil {
				kept++
			}
		}
	})
	is.Equal(kept, 2) // two peers held it while the request ran
	for _, b := range sim.peers {
		_, err := b.Recall("r1")
		is.Equal(err, jaywind.ErrKeyNotFound)
	}
	is.Equal(len(sim.routers[0].core.State.Journal.Entries), 0)
}

// TestOldRouterCancelsInVain checks that a router that the caller has left can't cancel the engine's work once
// another router has resumed the request.
func TestOldRouterCancelsInVain(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 2)
	sim.limit = 400
	sim.connect("r1", 0, false)
	for len(sim.callers["r1"].tokens) < 10 {
		sim.tick()
	}
	sim.disconnectR1()
	faults["connection is reset"](sim, sim.current())
	for range 20 {
		sim.tick() // the old router opens another attempt
	}
	opens := sim.opens
	sim.connect("r1", 1, true)
	runToEnd(sim, func() {})
	checkAnswer(t, sim, generate.ResumeTarget)
	is.Equal(sim.opens, opens+1) // the new router's stream was never interrupted
}
