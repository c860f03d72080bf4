package step

import (
	"time"

	"jaywind/internal/core/admit"
	"jaywind/internal/core/claim"
	"jaywind/internal/core/generate"
	"jaywind/internal/core/journal"
	"jaywind/internal/core/member"
	"jaywind/internal/core/move"
	"jaywind/internal/core/place"
	"jaywind/internal/core/table"
)

// Core is the tables of a router with the systems that run over them.
type Core struct {
	State *table.State

	systems []table.System
}

// Step runs one tick and returns its commands; a full tick looks at timers too.
func (c *Core) Step(now time.Time, full bool, events []table.Event) []table.Command {
	if c.systems == nil {
		c.systems = order()
	}
	c.State.Begin(now, full, events)
	for _, y := range c.systems {
		y.Step(c.State)
	}
	return c.State.Take()
}

func order() []table.System {
	return []table.System{
		Rules{},
		member.Member{},
		member.Leave{},
		place.Membership{},
		place.Reports{},
		place.Polls{},
		move.Watch{},
		generate.Intake{},
		generate.Silence{},
		move.Decide{},
		admit.Quota{},
		admit.Admit{},
		generate.Pinned{},
		place.Place{},
		journal.Journal{},
		claim.Claim{},
	}
}
