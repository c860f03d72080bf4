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
	engineCacheSize = 24 // prompt prefixes that an engine caches
	requestTicks    = 50 // of each request
)

// cachingEngine is an engine with an LRU cache of prompt prefixes.
type cachingEngine struct {
	cached  []int // prompt indexes, the least recently used first
	running int
}

// compute adds a prompt's prefix to the cache and returns whether it was cached before.
func (e *cachingEngine) compute(prompt int) bool {
	i := slices.Index(e.cached, prompt)
	if i >= 0 {
		e.cached = slices.Delete(e.cached, i, i+1)
	}
	e.cached = append(e.cached, prompt)
	e.cached = e.cached[max(0, len(e.cached)-engineCacheSize):]
	return i >= 0
}

// cachingFleet is a simulation of routers that share engines with prefix caches.
type cachingFleet struct {
	routers    []*table.State
	engines    map[jaywind.EndpointID]*cachingEngine
	prompts    []string
	promptDist *rand.Zipf
	endsAt     map[int][]func() // run when requests end, by tick
	opened     int
	hits       int
	maxRunning int // highest number of requests at one engine
}

func newCachingFleet(routers, engines, prompts int) *cachingFleet {
	f := &cachingFleet{engines: map[jaywind.EndpointID]*cachingEngine{}, endsAt: map[int][]func(){}}
	for rank := range routers {
		s := newState(engines, 4)
		s.Membership = table.Membership{Rank: rank, Members: routers}
		f.routers = append(f.routers, s)
	}
	for id := range f.routers[0].Endpoints {
		f.engines[id] = &cachingEngine{}
	}
	for i := range prompts {
		f.prompts = append(f.prompts, strings.Repeat(fmt.Sprintf("prompt %08d ", i), affinityPrefixBytes/16))
	}
	f.promptDist = rand.NewZipf(rand.New(rand.NewPCG(1, 2)), 1.1, 8, uint64(prompts-1))
	return f
}

// run has each router place one request per tick.
func (f *cachingFleet) run(ticks int) {
	for i := range ticks {
		now := startTime.Add(time.Duration(i) * tick)
		for _, end := range f.endsAt[i] {
			end()
		}
		for rank, s := range f.routers {
			f.poll(s, now)
			prompt := int(f.promptDist.Uint64())
			addRequest(s, fmt.Sprint(rank, "-", i), f.prompts[prompt])
			opens, _ := step(s, now)
			for _, o := range opens {
				f.open(s, o, prompt, i)
			}
		}
	}
}

func (f *cachingFleet) open(s *table.State, o table.OpenStream, prompt, i int) {
	e := f.engines[o.Endpoint]
	f.opened++
	if e.compute(prompt) {
		f.hits++
	}
	e.running++
	f.maxRunning = max(f.maxRunning, e.running)
	f.endsAt[i+requestTicks] = append(f.endsAt[i+requestTicks], func() {
		e.running--
		s.Endpoints[o.Endpoint].Inflight--
		delete(s.Requests, o.Call.Request)
	})
}

// poll delivers the load report that a router polls for, if one is due.
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

// TestAffinityOfManyRouters checks that prompts with a common prefix are sent to few engines. Routers
// know each other's requests only from delayed load reports, and must not overload an engine meanwhile.
func TestAffinityOfManyRouters(t *testing.T) {
	const routers, engines = 8, 32
	tests := map[string]struct {
		prompts    int
		minHitRate float64 // minimum cache hit rate
	}{
		"caches hold all prefixes seven times": {prompts: 100, minHitRate: 0.95},
		"twice":                                {prompts: 400},
		"caches hold half of the prefixes":     {prompts: 1600},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newCachingFleet(routers, engines, c.prompts)
			f.run(6000)
			hitRate := float64(f.hits) / float64(f.opened)
			t.Logf("cache hit rate %.3f, at most %d requests at an engine, %.1f on average", hitRate, f.maxRunning, float64(routers*requestTicks)/engines)
			is.Equal(f.opened, 6000*routers)
			is.True(hitRate >= c.minHitRate)
			// Each router that uses an engine may exceed its own average there by a quarter plus two requests.
			routersPerEngine := routers * windowSize / engines
			is.True(float64(f.maxRunning) <= affinityLoadFactor*requestTicks*float64(routersPerEngine)/windowSize+2*float64(routersPerEngine))
		})
	}
}
