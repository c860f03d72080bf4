package schedule

import (
	"time"

	"jaywind"
)

// PlainSample is what a router has seen of the plain calls to an endpoint since its last report.
type PlainSample struct {
	Endpoint Key
	Calls    int           // that were answered
	Time     time.Duration // of all of them together
	Rejected int           // that the endpoint turned away
	Failed   int
	Open     int // calls under way now
}

const (
	plainWindow = 250 * time.Millisecond // in which plain calls are counted together
	plainAlpha  = 0.4                    // weight of a window in the moving averages
)

// plainStats adds up the plain calls of all routers to each endpoint. The zero value is empty.
type plainStats struct {
	open  map[jaywind.VM]map[Key]int // calls under way in the last report of each router
	sum   map[Key]int                // of them
	total map[Key]*plainLoad
}

// plainLoad is what all routers have seen of an endpoint.
type plainLoad struct {
	since    time.Time // start of the window
	calls    int
	rejected int
	time     time.Duration

	meanMs     float64 // moving average of the time of a call; 0 if not measured
	rejections float64 // moving average of the share of calls that were turned away
	perSecond  float64 // moving average of the calls that were answered
	at         time.Time
}

func (p *plainStats) add(from jaywind.VM, all []PlainSample, now time.Time) {
	if p.open == nil {
		p.open, p.sum, p.total = map[jaywind.VM]map[Key]int{}, map[Key]int{}, map[Key]*plainLoad{}
	}
	p.forget(from)
	open := make(map[Key]int, len(all))
	for _, m := range all {
		open[m.Endpoint] += m.Open
		p.sum[m.Endpoint] += m.Open
		l := p.total[m.Endpoint]
		if l == nil {
			l = &plainLoad{since: now}
			p.total[m.Endpoint] = l
		}
		l.calls += m.Calls
		l.rejected += m.Rejected
		l.time += m.Time
		l.close(now)
	}
	p.open[from] = open
}

// close ends the window if it is over.
func (l *plainLoad) close(now time.Time) {
	took := now.Sub(l.since)
	if took < plainWindow || l.calls+l.rejected == 0 {
		return
	}
	if l.calls > 0 {
		ms := float64(l.time) / float64(time.Millisecond) / float64(l.calls)
		if l.meanMs == 0 {
			l.meanMs = ms
		}
		l.meanMs += plainAlpha * (ms - l.meanMs)
	}
	share := float64(l.rejected) / float64(l.calls+l.rejected)
	l.rejections += plainAlpha * (share - l.rejections)
	l.perSecond += plainAlpha * (float64(l.calls)/took.Seconds() - l.perSecond)
	l.calls, l.rejected, l.time, l.since, l.at = 0, 0, 0, now, now
}

// forget removes the calls under way of a router.
func (p *plainStats) forget(from jaywind.VM) {
	for k, n := range p.open[from] {
		if p.sum[k] -= n; p.sum[k] == 0 {
			delete(p.sum, k)
		}
	}
	delete(p.open, from)
}

// openCalls returns the calls under way at an endpoint.
func (p *plainStats) openCalls(k Key) int { return p.sum[k] }
