package claims

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"jaywind"
	"jaywind/internal/standin/store"
)

// BenchmarkHeld tells what a shard keeps in memory for each claim of the retention time, and what
// another router reads before it can commit to the shard for the first time.
func BenchmarkHeld(b *testing.B) {
	for _, count := range []int{2_000, 20_000, 100_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s := &store.Store{}
			fill(b, &Shard{Store: s}, count)
			for b.Loop() {
				before := heap()
				calls := s.Calls()
				h := &Shard{Store: s}
				if _, err := h.Commit(context.Background(), []jaywind.Claim{claimed("0", 9, jaywind.ClaimTaken)}); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(s.Calls()-calls), "reads")
				b.ReportMetric(float64(heap()-before)/float64(count), "B/claim")
				runtime.KeepAlive(h)
			}
		})
	}
}

func fill(b *testing.B, h *Shard, count int) {
	const batch = 50
	for i := 0; i < count; i += batch {
		wants := make([]jaywind.Claim, batch)
		for j := range wants {
			wants[j] = claimed(fmt.Sprint(i+j), 1, jaywind.ClaimAnswered)
			wants[j].Reply = jaywind.Reply{Status: 200, Body: make([]byte, 200)}
		}
		if _, err := h.Commit(context.Background(), wants); err != nil {
			b.Fatal(err)
		}
	}
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
