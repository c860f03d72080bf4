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

// Core holds a router's state and the systems that run over it.
type Core struct {
	State *table.State

	systems []table.System
}

// Step runs one tick and returns its commands; a full tick also checks timers.
func (c *Core) Step(now time.Time, full bool, events []table.Event) []table.Command {
	if c.systems == nil {
		c.systems = defaultSystems()
	}
	c.State.BeginTick(now, full, events)
	for _, system := range c.systems {
		system.Step(c.State)
	}
	return c.State.TakeCommands()
}

// defaultSystems returns the systems in the order in which they run; the package comment gives the reason for it.
func defaultSystems() []table.System {
	return []table.System{
		Rules{},
		member.Protocol{},
		member.LeaveTracker{},
		place.Membership{},
		place.LoadReports{},
		place.LoadPolls{},
		move.Observe{},
		generate.EventHandler{},
		generate.SilenceDetector{},
		move.Decide{},
		admit.Quota{},
		admit.Admit{},
		generate.PinnedVersionCheck{},
		place.Placement{},
		journal.Replicator{},
		claim.Claim{},
	}
}
