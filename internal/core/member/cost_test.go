package member

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkRouterSecond measures what membership costs one router in a second, at several sizes of the fleet.
func BenchmarkRouterSecond(b *testing.B) {
	for _, n := range []int{3, 9, 30, 100, 370} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			empty := heap()
			f := newFleet(n)
			f.until(2*joinTarget, f.joined)
			if !f.joined() {
				b.Fatal("the fleet has not joined")
			}
			f.run(90 * time.Second) // most news of the start has been spread
			state := float64(heap()-empty) / float64(n)
			told, rows := f.totals()
			for b.Loop() {
				f.run(time.Second)
			}
			after, rowsAfter := f.totals()
			seconds := float64(b.N * n)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/seconds, "ns/router-s")
			b.ReportMetric(float64(after-told)/seconds, "messages/router-s")
			b.ReportMetric(float64(rowsAfter-rows)/seconds, "rows/router-s")
			b.ReportMetric(state, "B/router")
		})
	}
}

// BenchmarkRegionsCut measures what a router sends while equal halves are cut and while they find each other again.
func BenchmarkRegionsCut(b *testing.B) {
	for _, n := range []int{100, 370} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				f := newRegions(n)
				b.ReportMetric(f.bytes(10*time.Second), "B/s-quiet")
				f.cutAt(domains(1, 3), 0)
				b.ReportMetric(f.bytes(10*time.Second), "B/s-cut")
				f.cut = nil
				b.ReportMetric(f.bytes(newsTarget), "B/s-heal")
				healed := newsTarget + f.until(2*time.Minute, f.joined)
				if !f.joined() {
					b.Fatal("the fleet is not whole again")
				}
				b.ReportMetric(healed.Seconds(), "s-heal")
			}
		})
	}
}

// Sizes on the wire, from BenchmarkExchange of package gossip.
const (
	messageBytes = 11
	rowBytes     = 82
)

// bytes lets time pass and returns the bytes that a router sends in a second, on average.
func (f *fleet) bytes(d time.Duration) float64 {
	told, rows := f.totals()
	f.hold(d, 0)
	after, rowsAfter := f.totals()
	sent := messageBytes*(after-told) + rowBytes*(rowsAfter-rows)
	return float64(sent) / float64(len(f.nodes)) / d.Seconds()
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// totals returns the messages and rows sent by all nodes.
func (f *fleet) totals() (told, rows int) {
	for _, n := range f.nodes {
		told += n.told
		rows += n.rows
	}
	return told, rows
}
