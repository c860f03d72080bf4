package claims

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"jaywind"
	"jaywind/internal/standin/store"
)

// BenchmarkHeld measures the memory that a shard takes per retained claim, and the store reads that
// a router needs before its first commit to the shard.
func BenchmarkHeld(b *testing.B) {
	for _, count := range []int{2_000, 20_000, 100_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s := &store.Store{}
			fill(b, &Shard{Store: s}, count)
			for b.Loop() {
				before := heapBytes()
				calls := s.Calls()
				h := &Shard{Store: s}
				if _, err := h.Commit(context.Background(), []jaywind.Claim{claimed("0", 9, jaywind.ClaimTaken)}); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(s.Calls()-calls), "reads")
				b.ReportMetric(float64(heapBytes()-before)/float64(count), "B/claim")
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

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
