package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/table"
)

const (
	keptStarts = 24 // starts of prompts in the cache of an engine
	ticksOfRun = 50 // that a request lasts
)

// cachingEngine keeps the starts of the prompts that it computed last.
type cachingEngine struct {
	kept    []int // the least recently used first
	running int
}

// compute returns whether a start was kept.
func (e *cachingEngine) compute(start int) bool {
	i := slices.Index(e.kept, start)
	if i >= 0 {
		e.kept = slices.Delete(e.kept, i, i+1)
	}
	e.kept = append(e.kept, start)
	e.kept = e.kept[max(0, len(e.kept)-keptStarts):]
	return i >= 0
}

// cachingFleet is a few routers before engines with caches.
type cachingFleet struct {
	routers []*table.State
	engines map[jaywind.EndpointID]*cachingEngine
	prompts []string
	draw    *rand.Zipf
	ends    map[int][]func() // by tick
	opened  int
	hits    int
	most    int // work at one engine
}

func newCachingFleet(routers, engines, prompts int) *cachingFleet {
	f := &cachingFleet{engines: map[jaywind.EndpointID]*cachingEngine{}, ends: map[int][]func(){}}
	for rank := range routers {
		s := newState(engines, 4)
		s.Membership = table.Membership{Rank: rank, Members: routers}
		f.routers = append(f.routers, s)
	}
	for id := range f.routers[0].Endpoints {
		f.engines[id] = &cachingEngine{}
	}
	for i := range prompts {
		f.prompts = append(f.prompts, strings.Repeat(fmt.Sprintf("prompt %08d ", i), affinityPrefix/16))
	}
	f.draw = rand.NewZipf(rand.New(rand.NewPCG(1, 2)), 1.1, 8, uint64(prompts-1))
	return f
}

// run lets each router place a request a tick.
func (f *cachingFleet) run(ticks int) {
	for i := range ticks {
		now := began.Add(time.Duration(i) * tick)
		for _, end := range f.ends[i] {
			end()
		}
		for rank, s := range f.routers {
			f.poll(s, now)
			start := int(f.draw.Uint64())
			add(s, fmt.Sprint(rank, "-", i), f.prompts[start])
			opens, _ := step(s, now)
			for _, o := range opens {
				f.open(s, o, start, i)
			}
		}
	}
}

func (f *cachingFleet) open(s *table.State, o table.OpenStream, start, i int) {
	e := f.engines[o.Endpoint]
	f.opened++
	if e.compute(start) {
		f.hits++
	}
	e.running++
	f.most = max(f.most, e.running)
	f.ends[i+ticksOfRun] = append(f.ends[i+ticksOfRun], func() {
		e.running--
		s.Endpoints[o.Endpoint].Inflight--
		delete(s.Requests, o.Call.Request)
	})
}

// poll brings a router the load report that it asks for.
func (f *cachingFleet) poll(s *table.State, now time.Time) {
	s.BeginTick(now, true, nil)
	LoadPolls{}.Step(s)
	for _, c := range s.TakeCommands() {
		id := c.(table.PollLoad).Endpoint
		load := jaywind.Load{Running: f.engines[id].running, Version: "v1"}
		s.BeginTick(now, false, []table.Event{table.LoadReported{Endpoint: id, Load: load}})
		LoadReports{}.Step(s)
		s.TakeCommands()
	}
}

// TestAffinityOfManyRouters holds that prompts which start alike meet at few engines, and that
// routers which know of each other's work only by late reports don't pile theirs up on one.
func TestAffinityOfManyRouters(t *testing.T) {
	const routers, engines = 8, 32
	tests := map[string]struct {
		prompts int
		hits    float64 // least share, where the caches hold them all
	}{
		"caches hold all starts seven times": {prompts: 100, hits: 0.95},
		"twice":                              {prompts: 400},
		"half of them":                       {prompts: 1600},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newCachingFleet(routers, engines, c.prompts)
			f.run(6000)
			share := float64(f.hits) / float64(f.opened)
			t.Logf("%.3f of the starts kept, at most %d requests at an engine, %.1f on average", share, f.most, float64(routers*ticksOfRun)/engines)
			is.Equal(f.opened, 6000*routers)
			is.True(share >= c.hits)
			// Each router may exceed the average of its own work by a quarter and two requests.
			using := routers * windowSize / engines
			is.True(float64(f.most) <= affinityBound*ticksOfRun*float64(using)/windowSize+2*float64(using))
		})
	}
}
