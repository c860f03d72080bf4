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
