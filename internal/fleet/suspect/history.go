package suspect

import (
	"slices"
	"time"

	"jaywind"
	"jaywind/internal/core/suspect"
)

const (
	historyTime = 2 * time.Minute        // for which a collector may still need a loss
	maxHistory  = 256                    // losses, of which the oldest are forgotten
	maxReported = 64                     // losses in one report
	resendDelay = 400 * time.Millisecond // before losses are sent again to a collector that did not answer
)

// history holds the losses of this router, as a collector may miss reports, or become one later.
type history struct {
	losses    []*sentLoss
	processes map[jaywind.Address]uint64 // of the collectors
}

// sentLoss is a loss and the collectors that have it.
type sentLoss struct {
	suspect.Loss
	reportedAt time.Time
	collected  bool // by this router
	told       map[jaywind.Address]bool
}

func (h *history) add(losses []suspect.Loss, now time.Time) {
	for _, l := range losses {
		h.losses = append(h.losses, &sentLoss{Loss: l, reportedAt: now, told: map[jaywind.Address]bool{}})
	}
	h.losses = slices.Delete(h.losses, 0, max(0, len(h.losses)-maxHistory))
}

// forget removes losses that are too old, and those under a group that has proved to be sound.
func (h *history) forget(now time.Time, sound suspect.Group) {
	h.losses = slices.DeleteFunc(h.losses, func(l *sentLoss) bool {
		return now.Sub(l.reportedAt) > historyTime || sound.In(l.Service, l.Parts())
	})
}

// acknowledge records that a collector has losses, and reports whether its process is another one than before, which has no earlier ones.
func (h *history) acknowledge(at jaywind.Address, process uint64, losses []*sentLoss) (restarted bool) {
	if h.processes == nil {
		h.processes = map[jaywind.Address]uint64{}
	}
	before, known := h.processes[at]
	if restarted = known && before != process; restarted {
		for _, l := range h.losses {
			delete(l.told, at)
		}
	}
	h.processes[at] = process
	for _, l := range losses {
		l.told[at] = true
	}
	return restarted
}

// untold returns the losses that the present collectors do not have, by their addresses, and those that this router has to collect itself.
func (h *history) untold(collectors func(key string, count int) ([]jaywind.Address, bool)) (others map[jaywind.Address][]*sentLoss, self []*sentLoss) {
	type choice struct {
		others []jaywind.Address
		self   bool
	}
	others, chosen := map[jaywind.Address][]*sentLoss{}, map[jaywind.ServiceName]choice{}
	for _, l := range h.losses {
		c, known := chosen[l.Service]
		if !known {
			c.others, c.self = collectors(string(l.Service), collectorCount)
			chosen[l.Service] = c
		}
		if c.self && !l.collected {
			self = append(self, l)
		}
		for _, at := range c.others {
			if !l.told[at] {
				others[at] = append(others[at], l)
			}
		}
	}
	return others, self
}
