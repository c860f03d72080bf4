package step

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/table"
)

const withService = twoEngines + `service catalogue # test
endpoint s1 kind=service service=catalogue url=http://s1 domain=a # test
`

// refusals sends a generation and a lookup and returns how many of them are refused as not run, with a retry delay.
func refusals(core *Core, now time.Time) int {
	commands := core.Step(now, false, []table.Event{
		table.RequestArrived{Request: table.GenerationRequest{ID: "r1", Model: "heat", Prompt: "x", MaxTokens: 10}},
		table.ServiceArrived{Request: table.CallRequest{ID: "r2", Service: "catalogue", HTTP: jaywind.ServiceRequest{Method: "GET", Path: "/"}, Deadline: now.Add(time.Minute)}},
	})
	refused := 0
	for _, c := range commands {
		switch c := c.(type) {
		case table.FinishRequest:
			if c.Outcome == table.OutcomeRefused && c.RetryAfter > 0 {
				refused++
			}
		case table.Respond:
			if c.Result == table.ResultNotRun && c.RetryAfter > 0 {
				refused++
			}
		}
	}
	return refused
}

func TestNewWorkIsRefusedAtOnce(t *testing.T) {
	tests := map[string]struct {
		rules bool
		lost  int  // dead members, of four others
		store bool // the store is always reachable
		stop  bool
		want  int
	}{
		"all is well":                     {rules: true, store: true},
		"no rules yet":                    {want: 2},
		"store down":                      {rules: true},
		"half of the others lost":         {rules: true, lost: 2},
		"smaller side without the store":  {rules: true, lost: 3, want: 2},
		"smaller side that has the store": {rules: true, lost: 3, store: true},
		"stopping":                        {rules: true, store: true, stop: true, want: 2},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			core := &Core{State: table.New(1)}
			now := time.Unix(1_800_000_000, 0)
			if c.rules {
				core.Step(now, true, []table.Event{parseRules(t, 1, withService)})
			}
			for i, vm := range []jaywind.VM{"vm2", "vm3", "vm4", "vm5"} {
				m := &table.Member{Member: jaywind.Member{VM: vm}, Since: now}
				if i < c.lost {
					m.Liveness = jaywind.LivenessDead
				}
				core.State.Fleet.Add(m)
			}
			for range 30 {
				now = now.Add(time.Second)
				var events []table.Event
				if c.store {
					events = append(events, table.StoreReached{})
				}
				core.Step(now, true, events)
			}
			if c.stop {
				core.Step(now, false, []table.Event{table.StopRequested{}})
			}
			is.New(t).Equal(refusals(core, now), c.want)
		})
	}
}
