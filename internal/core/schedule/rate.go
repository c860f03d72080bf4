package schedule

import "time"

const (
	rateWindow = 250 * time.Millisecond // in which grants are counted
	rateAlpha  = 0.2                    // weight of a window in the moving average
)

// rateMeter measures how many requests are granted in a second while others wait. The zero value has measured nothing.
type rateMeter struct {
	grants    uint64 // in all
	since     time.Time
	count     int
	perWindow float64 // moving average; 0 before the first window
	busyAt    time.Time
}

// record counts grants, and whether requests still wait.
func (m *rateMeter) record(granted int, busy bool, now time.Time) {
	if !busy {
		m.since = time.Time{}
		return
	}
	m.busyAt = now
	if m.since.IsZero() {
		m.since, m.count = now, 0
		return
	}
	m.count += granted
	if now.Sub(m.since) < rateWindow {
		return
	}
	rate := float64(m.count) * float64(time.Second) / float64(now.Sub(m.since))
	if m.perWindow == 0 {
		m.perWindow = rate
	}
	m.perWindow += rateAlpha * (rate - m.perWindow)
	m.since, m.count = now, 0
}

// memory is for how long a measured rate counts after the queue was last busy.
const rateMemory = 10 * time.Second

// perSecond returns the rate; prior is the expectation that counts before one is measured, and as much as it afterwards.
func (m *rateMeter) perSecond(prior float64, now time.Time) float64 {
	if m.perWindow == 0 || now.Sub(m.busyAt) > rateMemory {
		return prior
	}
	return (m.perWindow + prior) / 2
}
