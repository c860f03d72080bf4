package store_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"jaywind"
	"jaywind/internal/provider/store"
)

// failing answers nothing for a time and counts the calls of each second.
type failing struct {
	start time.Time
	heals time.Duration

	mu    sync.Mutex
	calls map[int]int // by second since start
}

// RoundTrip fails after a while, or answers that the key is absent.
func (f *failing) RoundTrip(r *http.Request) (*http.Response, error) {
	f.mu.Lock()
	f.calls[int(time.Since(f.start).Seconds())]++
	f.mu.Unlock()
	if time.Since(f.start) < f.heals {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return &http.Response{StatusCode: http.StatusNotFound, Body: http.NoBody, Request: r}, nil
}

// TestOutageCostsConstantCalls holds that in a long outage the fleet makes at most 20 calls a second
// however many routers it has and callers they have, and that not all of them come back at once.
func TestOutageCostsConstantCalls(t *testing.T) {
	const outage, settled, most = 120, 60, 20 // seconds, seconds, calls a second
	for _, routers := range []int{9, 90, 370} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &failing{start: time.Now(), heals: outage * time.Second, calls: map[int]int{}}
				ctx, cancel := context.WithTimeout(context.Background(), (outage+60)*time.Second)
				defer cancel()
				var group conc.WaitGroup
				for range routers {
					c := &store.Client{Transport: f, Routers: func() int { return routers }}
					group.Go(func() { keepReading(ctx, c) })
				}
				group.Wait()
				is := is.New(t)
				sum := 0
				for s := settled; s < outage; s++ {
					sum += f.calls[s]
				}
				t.Logf("%d routers: %.1f calls a second in the outage", routers, float64(sum)/(outage-settled))
				is.True(sum <= most*(outage-settled))
				back := 0
				for s := outage; s < outage+60; s++ {
					is.True(f.calls[s] <= 2*most) // routers come back spread out
					back += f.calls[s]
				}
				is.Equal(back, routers) // each is back within a minute
			})
		})
	}
}

// keepReading reads about twice a second until the store answers.
func keepReading(ctx context.Context, c *store.Client) {
	for ctx.Err() == nil {
		_, err := c.Get(ctx, "k")
		if errors.Is(err, jaywind.ErrKeyNotFound) {
			return
		}
		time.Sleep(time.Duration(rand.Int64N(int64(time.Second))))
	}
}
