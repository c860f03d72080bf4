package retry_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jaywind/internal/core/retry"
)

// TestSharers: routers leave and others take their place. The test fails if the parts of the budget grow while the spending of one that has left
// still counts, or stay small for good.
func TestSharers(t *testing.T) {
	const window = 10 * time.Second
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		counts map[time.Duration]int
		at     time.Duration
		want   int
	}{
		"none known":             {nil, 0, 1},
		"constant":               {map[time.Duration]int{0: 8}, time.Minute, 8},
		"one has left":           {map[time.Duration]int{0: 8, 20 * time.Second: 7}, 25 * time.Second, 8},
		"one has left long ago":  {map[time.Duration]int{0: 8, 20 * time.Second: 7}, 31 * time.Second, 7},
		"one has joined":         {map[time.Duration]int{0: 8, 20 * time.Second: 9}, 20 * time.Second, 9},
		"in turn":                {map[time.Duration]int{0: 8, 20 * time.Second: 7, 24 * time.Second: 8, 28 * time.Second: 7}, 29 * time.Second, 8},
		"in turn, and then less": {map[time.Duration]int{0: 8, 20 * time.Second: 7, 24 * time.Second: 8, 28 * time.Second: 7}, 39 * time.Second, 7},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var s retry.Sharers
			for at := time.Duration(0); at <= c.at; at += time.Second {
				if n, changes := c.counts[at]; changes {
					s.Set(n, start.Add(at))
				}
				s.Most(start.Add(at), window) // as calls ask for it all the time
			}
			is.New(t).Equal(s.Most(start.Add(c.at), window), c.want)
		})
	}
}

// TestSharersOfQuietService fails if the counts of a router that never asks for the most of them, as its services need no retries, use ever more
// memory.
func TestSharersOfQuietService(t *testing.T) {
	const maxBytes = 1 << 20
	tests := map[string]func(i int) int{
		"the same count again": func(int) int { return 8 },
		"in turn":              func(i int) int { return 7 + i%2 },
		"all leave and return": func(i int) int { return 370 - i%370 },
	}
	for name, count := range tests {
		t.Run(name, func(t *testing.T) {
			var s retry.Sharers
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for i := range 200_000 {
				s.Set(count(i), time.Unix(int64(i), 0))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			is.New(t).True(int64(after.HeapAlloc)-int64(before.HeapAlloc) < maxBytes)
			runtime.KeepAlive(&s)
		})
	}
}

// TestSharersModel compares the counts with a list of all of them.
func TestSharersModel(t *testing.T) {
	type count struct {
		routers int
		since   time.Time
	}
	rapid.Check(t, func(t *rapid.T) {
		window := time.Duration(rapid.IntRange(1, 8).Draw(t, "window")) * time.Second
		now := time.Unix(1000, 0)
		var s retry.Sharers
		var all []count
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 6).Draw(t, "seconds")) * time.Second) },
			"set": func(t *rapid.T) {
				n := rapid.IntRange(1, 5).Draw(t, "routers")
				s.Set(n, now)
				all = append(all, count{n, now})
			},
			"most": func(t *rapid.T) {
				want := 1
				for i, c := range all {
					if i == len(all)-1 || now.Sub(all[i+1].since) <= window { // it held within the window
						want = max(want, c.routers)
					}
				}
				if got := s.Most(now, window); got != want {
					t.Fatalf("%d, want %d", got, want)
				}
			},
		})
	})
}
