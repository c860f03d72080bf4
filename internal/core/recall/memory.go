package recall

import (
	"time"

	"jaywind"
)

const maxBytes = 32 << 20 // of remembered replies; older claims are forgotten beyond it

// Memory holds the claims that were recorded through a router lately. Set the exported fields before the first call.
type Memory struct {
	Span    time.Duration // for which a claim is remembered
	Started time.Time     // when the router began to remember

	claims  map[jaywind.ClaimKey]*remembered
	order   []*remembered // by time, including those that are replaced
	size    int           // bytes
	dropped time.Time     // when a claim was last forgotten before its time
}

type remembered struct {
	claim jaywind.Claim
	at    time.Time
	size  int
}

// Add remembers a claim that is on record, in place of an earlier state of it.
func (m *Memory) Add(c jaywind.Claim, now time.Time) {
	if m.claims == nil {
		m.claims = map[jaywind.ClaimKey]*remembered{}
	}
	r := &remembered{claim: c, at: now, size: len(c.Key) + len(c.Reply.Body)}
	m.claims[c.ID()] = r
	m.order = append(m.order, r)
	m.size += r.size
	m.expire(now)
}

// expire forgets what is too old or too much.
func (m *Memory) expire(now time.Time) {
	for len(m.order) > 0 {
		oldest := m.order[0]
		inTime := now.Sub(oldest.at) <= m.Span
		if inTime && m.size <= maxBytes {
			return
		}
		if inTime {
			m.dropped = now
		}
		m.order = m.order[1:]
		m.size -= oldest.size
		if k := oldest.claim.ID(); m.claims[k] == oldest {
			delete(m.claims, k)
		}
	}
}

// Claims returns the claims of the last span.
func (m *Memory) Claims(now time.Time) []jaywind.Claim {
	m.expire(now)
	var out []jaywind.Claim
	for _, r := range m.order {
		if m.claims[r.claim.ID()] == r {
			out = append(out, r.claim)
		}
	}
	return out
}

// Complete reports whether Claims returns all claims of the last span that were recorded through the router.
func (m *Memory) Complete(now time.Time) bool {
	return now.Sub(m.Started) >= m.Span && (m.dropped.IsZero() || now.Sub(m.dropped) > m.Span)
}
