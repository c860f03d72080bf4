package reach

import (
	"time"

	"jaywind"
)

const (
	firstProbe   = 250 * time.Millisecond // from the loss of a link to its first probe; the time doubles with each further one
	maxProbeTime = time.Second            // between two probes of a link
	unusedTime   = 10 * time.Second       // without a call, after which a lost link is forgotten
)

// Links holds the links of this router to endpoints that are lost. The zero value has none.
type Links struct {
	lost map[jaywind.Address]*lostLink
}

// lostLink is a link to one endpoint.
type lostLink struct {
	probeAt time.Time     // of the next probe
	wait    time.Duration // between the probe after it and that one
	usedAt  time.Time
}

// IsLost reports whether the link to an endpoint is lost.
func (l *Links) IsLost(at jaywind.Address) bool { return l.lost[at] != nil }

// RecordLost records that another router reaches an endpoint and this one does not. It reports whether that is news.
func (l *Links) RecordLost(at jaywind.Address, now time.Time) bool {
	if l.lost[at] != nil {
		return false
	}
	if l.lost == nil {
		l.lost = map[jaywind.Address]*lostLink{}
	}
	l.lost[at] = &lostLink{probeAt: now.Add(firstProbe), wait: firstProbe, usedAt: now}
	return true
}

// RecordConnected records that this router has connected to an endpoint over its own link. It reports whether that is news.
func (l *Links) RecordConnected(at jaywind.Address) bool {
	if l.lost[at] == nil {
		return false
	}
	delete(l.lost, at)
	return true
}

// TakeProbe reports whether a call to an endpoint whose link is lost should also cause a probe of the link. It does so for one call
// in each probe's time.
func (l *Links) TakeProbe(at jaywind.Address, now time.Time) bool {
	link := l.lost[at]
	if link == nil {
		return false
	}
	link.usedAt = now
	if now.Before(link.probeAt) {
		return false
	}
	link.wait = min(2*link.wait, maxProbeTime)
	link.probeAt = now.Add(link.wait)
	return true
}

// Expire forgets the lost links that no call has used for a while, as those to endpoints that are gone.
func (l *Links) Expire(now time.Time) {
	for at, link := range l.lost {
		if now.Sub(link.usedAt) > unusedTime {
			delete(l.lost, at)
		}
	}
}

// Count returns the number of lost links.
func (l *Links) Count() int { return len(l.lost) }
