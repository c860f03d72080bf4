package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkRouterSecond measures the cost of membership for one router and second, at several fleet sizes.
func BenchmarkRouterSecond(b *testing.B) {
	for _, n := range []int{3, 9, 30, 100, 370} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heapBytes()
			f := newFleet(n)
			f.runUntil(2*joinTarget, f.joined)
			if !f.joined() {
				b.Fatal("not all members have joined")
			}
			f.run(90 * time.Second) // most updates of the start have been sent
			perRouter := float64(heapBytes()-before) / float64(n)
			sent, rows := f.totals()
			for b.Loop() {
				f.run(time.Second)
			}
			after, rowsAfter := f.totals()
			seconds := float64(b.N * n)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/seconds, "ns/router-s")
			b.ReportMetric(float64(after-sent)/seconds, "messages/router-s")
			b.ReportMetric(float64(rowsAfter-rows)/seconds, "rows/router-s")
			b.ReportMetric(perRouter, "B/router")
		})
	}
}

// BenchmarkRegionPartition measures what a router sends during a partition into equal halves and while they rejoin.
func BenchmarkRegionPartition(b *testing.B) {
	for _, n := range []int{100, 370} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				f := newSettledFleet(n)
				b.ReportMetric(f.sendRate(10*time.Second), "B/s-quiet")
				f.partitionForHour(routersInDomains(1, 3), 0)
				b.ReportMetric(f.sendRate(10*time.Second), "B/s-cut")
				f.blocked = nil
				b.ReportMetric(f.sendRate(spreadTarget), "B/s-heal")
				healed := spreadTarget + f.runUntil(2*time.Minute, f.joined)
				if !f.joined() {
					b.Fatal("the halves have not rejoined")
				}
				b.ReportMetric(healed.Seconds(), "s-heal")
			}
		})
	}
}

// Encoded sizes, measured by BenchmarkExchange of package gossip.
const (
	messageBytes = 11
	rowBytes     = 82
)

// sendRate runs the fleet and returns the bytes that a router sends per second, on average.
func (f *fleet) sendRate(d time.Duration) float64 {
	sent, rows := f.totals()
	f.runWithStore(d, 0)
	after, rowsAfter := f.totals()
	total := messageBytes*(after-sent) + rowBytes*(rowsAfter-rows)
	return float64(total) / float64(len(f.nodes)) / d.Seconds()
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// totals returns the messages and rows sent by all nodes.
func (f *fleet) totals() (messages, rows int) {
	for _, n := range f.nodes {
		messages += n.sent
		rows += n.rows
	}
	return messages, rows
}
