package step

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

const leaveTarget = 3 * time.Second // from the report that an endpoint is leaving to the last new work sent there

const twoEngines = `model heat version=v1 # test
endpoint e1 model=heat version=v1 url=http://e1 domain=a vm=vm1 # test
endpoint e2 model=heat version=v1 url=http://e2 domain=b vm=vm2 # test
`

// parseRules returns the event for a version of the rules.
func parseRules(t *testing.T, version jaywind.RulesVersion, text string) table.RulesReceived {
	set, findings := rule.Parse("test", text)
	if len(findings) > 0 {
		t.Fatal(findings[0])
	}
	return table.RulesReceived{Version: version, Set: set}
}

// leaveNote is a note from another router that e1 reported at a time, in Unix milliseconds, that it is leaving.
func leaveNote(at string) table.Event {
	note := jaywind.Note{Kind: "endpoint", Key: "e1", Value: []byte(at)}
	return table.GossipReceived{Gossip: jaywind.Gossip{From: jaywind.Member{VM: "vm8"}, Notes: []jaywind.Note{note}}}
}

func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	tests := map[string]struct {
		event  func(t *testing.T) table.Event
		report jaywind.Load // of e1, after event
		later  table.Event  // two minutes after event
		leaves bool
	}{
		"nothing said": {event: func(*testing.T) table.Event { return table.LoadTimedOut{} }},
		"drain rule": {
			event:  func(t *testing.T) table.Event { return parseRules(t, 2, twoEngines+"drain e1 # on call\n") },
			leaves: true,
		},
		"VM list": {
			event: func(*testing.T) table.Event {
				return table.VMsListed{VMs: []jaywind.ListedVM{{VM: "vm1", Leaving: true}}}
			},
			leaves: true,
		},
		"VM list of another router": {
			event: func(*testing.T) table.Event {
				note := jaywind.Note{Kind: "leaving", Key: "vm1", Value: []byte("1800000000000")}
				return table.GossipReceived{Gossip: jaywind.Gossip{From: jaywind.Member{VM: "vm8"}, Notes: []jaywind.Note{note}}}
			},
			leaves: true,
		},
		"the endpoint's own word": {
			event: func(*testing.T) table.Event {
				return table.LoadReported{Endpoint: "e1", Load: jaywind.Load{Leaving: true, Version: "v1"}}
			},
			report: jaywind.Load{Leaving: true, Version: "v1"},
			leaves: true,
		},
		"the endpoint's word to another router": {
			event:  func(*testing.T) table.Event { return leaveNote("1799999990000") },
			report: jaywind.Load{Version: "v1", MeasuredAt: time.Unix(1_799_999_980, 0)}, // measured before the note
			leaves: true,
		},
		"the same, and a later report takes it back": {
			event:  func(*testing.T) table.Event { return leaveNote("1799999990000") },
			report: jaywind.Load{Version: "v1", MeasuredAt: time.Unix(1_799_999_999, 0)},
		},
		"the same, and nothing is heard of it any more": {
			event: func(*testing.T) table.Event { return leaveNote("1799999990000") },
			later: table.LoadReported{Endpoint: "e1", Load: jaywind.Load{Version: "v1", MeasuredAt: time.Unix(1_799_999_980, 0)}},
		},
		"VM list, and its VM comes back later": {
			event: func(*testing.T) table.Event {
				return table.VMsListed{VMs: []jaywind.ListedVM{{VM: "vm1", Leaving: true}}}
			},
			later: table.VMsListed{VMs: []jaywind.ListedVM{{VM: "vm1"}}},
		},
		"VM list, then a report and an older list that know nothing of it": {
			event: func(*testing.T) table.Event {
				return table.VMsListed{VMs: []jaywind.ListedVM{{VM: "vm1", Leaving: true}}}
			},
			report: jaywind.Load{Version: "v1"},
			leaves: true,
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			core := Core{State: table.New(1)}
			now := time.Unix(1_800_000_000, 0)
			core.Step(now, true, []table.Event{parseRules(t, 1, twoEngines)})
			core.Step(now, false, []table.Event{c.event(t)})
			core.Step(now, false, []table.Event{
				table.LoadReported{Endpoint: "e1", Load: c.report},
				table.VMsListed{VMs: []jaywind.ListedVM{{VM: "vm1"}}}, // another copy of the VM list, which lags behind
			})
			if c.later != nil {
				now = now.Add(2 * time.Minute)
				core.Step(now, false, []table.Event{c.later})
			}
			end := now.Add(leaveTarget)
			for i := 0; now.Before(end); i++ {
				now = now.Add(20 * time.Millisecond)
				core.Step(now, true, nil)
			}
			placed := map[jaywind.EndpointID]int{}
			for i := range 60 {
				now = now.Add(20 * time.Millisecond)
				request := table.GenerationRequest{ID: jaywind.RequestID(fmt.Sprint(i)), Model: "heat", Prompt: fmt.Sprint(i), MaxTokens: 10}
				for _, command := range core.Step(now, true, []table.Event{table.RequestArrived{Request: request}}) {
					if o, opens := command.(table.OpenStream); opens {
						placed[o.Endpoint]++
					}
				}
			}
			is.True(placed["e2"] > 0)
			is.Equal(placed["e1"] == 0, c.leaves)
		})
	}
}
