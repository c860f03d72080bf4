package balance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind/internal/core/balance"
)

const (
	uneven    = 1.5                   // the default of the setting
	workMean  = 30 * time.Millisecond // of a call
	workSigma = 0.5                   // of the logarithm of the work time
	maxSends  = 4                     // of a call that is rejected each time, as in the router
)

const (
	strictTarget = 120 * time.Millisecond // latency target of the routes of one deployment
	looseTarget  = 200 * time.Millisecond // of the unsafe calls of the other
	faultStart   = time.Second            // in the loads of the model
	settled      = time.Second            // after the start of a fault, by when it has to be known to all routers; two reports of up to 83 routers
	fleetSeeds   = 3
)

// load is what the model plays.
type load struct {
	routers, servers, slots, queue    int
	perSecond, unsafe                 float64 // calls, and the share of them that are unsafe
	length                            time.Duration
	factor, reject, fail              func(server int, at time.Duration) float64 // of work times, and shares of calls rejected and failed at once; may be nil
	down                              func(server int, at time.Duration) bool    // the registry does not list the server; may be nil
	tableOnly, noSummaries, oneRouter bool                                       // choice by own open calls; no reports; all demand at one router
	noSummaryFrom                     time.Duration                              // 0 for never
	newBuild                          int                                        // routers that balance and report; 0 for all
}

// callResult is how a call of the model ended.
type callResult struct {
	at, took            time.Duration
	unsafe, answered    bool
	servers, rejectedAt []int         // to which it was sent, and which rejected it
	told, drain         time.Duration // what a refused caller was told, and the work of the least busy server at that time
}

// interval returns the time between two reports of a router.
func (l *load) interval() time.Duration {
	return min(2*time.Second, max(500*time.Millisecond, 6*time.Millisecond*time.Duration(l.routers)))
}

// kind returns the kind of a call.
func (r *callResult) kind() balance.Kind {
	if r.unsafe {
		return balance.Unsafe
	}
	return balance.Safe
}

// old reports whether a router does not use the package.
func (m *model) old(router int) bool { return m.tableOnly || m.newBuild > 0 && router >= m.newBuild }

// isDown reports whether the registry does not list a server now.
func (m *model) isDown(server int) bool { return m.down != nil && m.down(server, m.now) }

// routerOf returns the router at which the next call arrives.
func (m *model) routerOf() int {
	if m.oneRouter {
		return 0
	}
	return m.random.IntN(m.routers)
}

// slowness returns the factor of a server's work times now.
func (m *model) slowness(server int) float64 {
	if m.factor == nil {
		return 1
	}
	return m.factor(server, m.now)
}

// refuse tells a caller when to come back.
func (m *model) refuse(i int, r *callResult, all []balance.Candidate) {
	r.told, r.drain = m.balancers[i].RetryAfter(all, m.time()), time.Hour
	for k, s := range m.servers {
		if !m.isDown(k) {
			r.drain = min(r.drain, s.pending/time.Duration(m.slots))
		}
	}
}

// summary is how the calls of a load ended.
type summary struct {
	calls, answered, rejections, sends int
	unsafe, unsafeAnswered             int
	safe, safeAnswered                 int
	perServer                          []int // sends
	mean, p99                          time.Duration
	inTime                             int // answered within the strict target
	tries                              int // largest number of times that a call was sent to one server
	told                               []float64
}

// after sums up the calls that arrived from a time on.
func (m *model) after(from time.Duration) summary {
	s := summary{perServer: make([]int, len(m.servers))}
	var times []time.Duration
	var total time.Duration
	for _, r := range m.results {
		if r.at < from {
			continue
		}
		s.calls++
		s.sends += len(r.servers)
		s.rejections += len(r.rejectedAt)
		perServer := make([]int, len(m.servers))
		for _, k := range r.servers {
			s.perServer[k]++
			perServer[k]++
		}
		s.tries = max(s.tries, slices.Max(perServer))
		if r.told > 0 {
			s.told = append(s.told, float64(r.told)/float64(max(time.Millisecond, r.drain)))
		}
		answered := 0
		if r.answered {
			answered = 1
			times = append(times, r.took)
			total += r.took
			if r.took <= strictTarget {
				s.inTime++
			}
		}
		s.answered += answered
		if r.unsafe {
			s.unsafe++
			s.unsafeAnswered += answered
		} else {
			s.safe++
			s.safeAnswered += answered
		}
	}
	slices.Sort(times)
	slices.Sort(s.told)
	s.mean, s.p99 = total/time.Duration(len(times)), times[len(times)*99/100]
	return s
}

func part(n, of int) float64 { return float64(n) / float64(max(1, of)) }

// three returns a load of 242 calls a second, three in five of them unsafe, at three servers.
func three(routers int, length time.Duration) load {
	return load{routers: routers, servers: 3, slots: 6, queue: 24, perSecond: 242, unsafe: 0.59, length: length}
}

// only returns a function that is x at the first server from faultStart on, and else elsewhere.
func only(x, elsewhere float64) func(int, time.Duration) float64 {
	return func(server int, at time.Duration) float64 {
		if server == 0 && at >= faultStart {
			return x
		}
		return elsewhere
	}
}

// forFleets runs a test for each size of a fleet and some seeds.
func forFleets(t *testing.T, sizes []int, f func(t *testing.T, routers int, seed uint64)) {
	for _, n := range sizes {
		for seed := range uint64(fleetSeeds) {
			t.Run(fmt.Sprintf("%d routers, seed %d", n, seed), func(t *testing.T) { f(t, n, seed) })
		}
	}
}

var allSizes = []int{9, 62, 81, 300}

// TestOneServerEightTimesSlower: one of three servers is eight times slower for 7 s. The test fails if after the first second it still
// gets more calls than probes and a few others, if more than 2 in 100 calls are rejected, or if its calls miss the target of all.
func TestOneServerEightTimesSlower(t *testing.T) {
	forFleets(t, []int{9, 62, 81}, func(t *testing.T, routers int, seed uint64) {
		is := is.New(t)
		l := three(routers, faultStart+7*time.Second)
		l.factor = only(8, 1)
		s := play(l, seed).after(faultStart + settled)
		l.tableOnly = true
		before := play(l, seed).after(faultStart + settled)
		t.Logf("rejected %.3f (table only %.3f), at the slow server %.3f (%.3f), p99 %v (%v)", part(s.rejections, s.calls), part(before.rejections, before.calls),
			part(s.perServer[0], s.sends), part(before.perServer[0], before.sends), s.p99, before.p99)
		is.True(part(s.rejections, s.calls) < 0.02)
		is.True(part(s.perServer[0], s.sends) < 0.05)
		is.True(part(s.perServer[0], s.sends) < part(before.perServer[0], before.sends)/2)
		is.True(part(s.inTime, s.calls) > 0.95)
	})
}

// TestOneSlowServerInTheLargestFleet is the same with summaries every 1.8 s, so that two of them take longer than the first second.
func TestOneSlowServerInTheLargestFleet(t *testing.T) {
	forFleets(t, []int{300}, func(t *testing.T, routers int, seed uint64) {
		is := is.New(t)
		l := three(routers, faultStart+7*time.Second)
		l.factor = only(8, 1)
		s := play(l, seed).after(faultStart + settled)
		t.Logf("rejected %.3f, at the slow server %.3f, p99 %v", part(s.rejections, s.calls), part(s.perServer[0], s.sends), s.p99)
		is.True(part(s.rejections, s.calls) < 0.02)
		is.True(part(s.inTime, s.calls) > 0.95)
	})
}

// TestShortSlowPeriods: each of four servers takes 2.5 times as long in 15 % of the time, for 600 ms. No router can know of it before it is
// over. The test fails if reacting to it makes calls slower than the choice by own calls does.
func TestShortSlowPeriods(t *testing.T) {
	is := is.New(t)
	var mean, p99, meanBefore, p99Before time.Duration
	const seeds = 8 // as the differences are small
	for seed := range uint64(seeds) {
		l := load{routers: 62, servers: 4, slots: 6, queue: 24, perSecond: 239, unsafe: 0.2, length: 30 * time.Second, factor: shortPeriods(seed)}
		s := play(l, seed).after(settled)
		l.tableOnly = true
		before := play(l, seed).after(settled)
		mean, p99, meanBefore, p99Before = mean+s.mean/seeds, p99+s.p99/seeds, meanBefore+before.mean/seeds, p99Before+before.p99/seeds
		is.True(part(s.inTime, s.calls) > 0.95)
	}
	t.Logf("mean %v (table only %v), p99 %v (%v)", mean, meanBefore, p99, p99Before)
	is.True(float64(mean) < 1.05*float64(meanBefore))
	is.True(float64(p99) < 1.1*float64(p99Before)) // the periods themselves differ by more between seeds
}

func shortPeriods(seed uint64) func(int, time.Duration) float64 {
	return func(server int, at time.Duration) float64 {
		period := uint64(at / (600 * time.Millisecond))
		if rand.New(rand.NewPCG(seed<<32+period, uint64(server))).Float64() < 0.15 {
			return 2.5
		}
		return 1
	}
}

// TestHalfFailingServer: one of three servers fails every second call at once, although it answers its health check. The test fails if its
// quick failures attract calls: with the choice by own calls a sixth of the unsafe ones are lost.
func TestHalfFailingServer(t *testing.T) {
	forFleets(t, allSizes, func(t *testing.T, routers int, seed uint64) {
		is := is.New(t)
		l := three(routers, 9*time.Second)
		l.fail = only(0.5, 0)
		s := play(l, seed).after(faultStart + settled)
		t.Logf("unsafe answered %.3f, safe %.3f", part(s.unsafeAnswered, s.unsafe), part(s.safeAnswered, s.safe))
		is.True(part(s.unsafeAnswered, s.unsafe) > 0.95)
		is.True(part(s.safeAnswered, s.safe) > 0.99)
	})
}

// TestServerThatRejectsWhileHealthy fails if routers go on to send calls to a server that rejects all of them, if they refuse calls although
// others have room, or if none of them finds out that the server takes calls again.
func TestServerThatRejectsWhileHealthy(t *testing.T) {
	forFleets(t, allSizes, func(t *testing.T, routers int, seed uint64) {
		is := is.New(t)
		l := three(routers, 15*time.Second)
		const end = 6 * time.Second
		l.reject = func(server int, at time.Duration) float64 {
			if server == 0 && at >= faultStart && at < end {
				return 1
			}
			return 0
		}
		m := play(l, seed)
		s := m.between(faultStart+max(settled, 2*l.interval()), end)
		t.Logf("rejected %.3f", part(s.rejections, s.calls))
		is.True(part(s.rejections, s.calls) < 0.05) // a third of them before
		is.Equal(s.answered, s.calls)
		s = m.after(end + 6*time.Second)
		t.Logf("at the server after its return: %.3f", part(s.perServer[0], s.sends))
		is.True(part(s.perServer[0], s.sends) > 0.1) // a third is its part
	})
}

func (m *model) between(from, to time.Duration) summary {
	all := m.results
	defer func() { m.results = all }()
	m.results = slices.DeleteFunc(slices.Clone(all), func(r *callResult) bool { return r.at >= to })
	return m.after(from)
}

// TestAllSlow: all servers take twice as long. The test fails if any of them is shut out, or if calls are refused although there is room.
func TestAllSlow(t *testing.T) {
	forFleets(t, allSizes, func(t *testing.T, routers int, seed uint64) {
		is := is.New(t)
		l := three(routers, 9*time.Second)
		l.factor = func(int, time.Duration) float64 { return 2 }
		s := play(l, seed).after(settled)
		t.Logf("at the servers %v, answered %.3f, mean %v", s.perServer, part(s.answered, s.calls), s.mean)
		is.True(part(slices.Min(s.perServer), s.sends) > 0.2)
		is.True(part(s.answered, s.calls) > 0.99)
		is.True(s.mean < looseTarget)
	})
}

// TestOneServerLeft: a service of three servers shrinks to one, which can serve 200 of 242 calls a second. The test fails if the server is
// left idle, if unsafe calls are refused while safe ones are served, if a call is sent to the server twice, or if callers are told a time
// that has nothing to do with the queue.
func TestOneServerLeft(t *testing.T) {
	for name, silent := range map[string]bool{"with summaries": false, "own calls alone": true} {
		t.Run(name, func(t *testing.T) {
			sizes := allSizes
			if silent {
				sizes = []int{9, 300}
			}
			forFleets(t, sizes, func(t *testing.T, routers int, seed uint64) {
				is := is.New(t)
				l := three(routers, 23*time.Second) // long, as random work times change what the server can do
				l.noSummaries = silent
				l.down = func(server int, at time.Duration) bool { return server > 0 && at >= faultStart }
				s := play(l, seed).after(faultStart + settled)
				seconds := (l.length - faultStart - settled).Seconds()
				capacity := float64(l.slots) / workMean.Seconds()
				told := s.told[len(s.told)/2]
				t.Logf("answered %.0f/s, unsafe %.3f, safe %.3f, rejections %.3f, told %.2f of the true time", float64(s.answered)/seconds,
					part(s.unsafeAnswered, s.unsafe), part(s.safeAnswered, s.safe), part(s.rejections, s.calls), told)
				is.True(float64(s.answered)/seconds > 0.95*math.Min(capacity, part(s.calls, 1)/seconds))
				is.Equal(s.tries, 1)
				is.True(told > 0.5 && told < 2)
				is.True(part(s.unsafeAnswered, s.unsafe) > part(s.safeAnswered, s.safe))
				if !silent {
					is.True(part(s.unsafeAnswered, s.unsafe) > 0.85)
					is.True(part(s.rejections, s.calls) < 0.1)
				}
			})
		})
	}
}

// TestSummariesEnd: summaries cease before a server becomes slow. The test fails if routers go on to trust the last ones.
func TestSummariesEnd(t *testing.T) {
	forFleets(t, []int{9, 62, 81}, func(t *testing.T, routers int, seed uint64) {
		is := is.New(t)
		l := three(routers, 16*time.Second)
		l.noSummaryFrom = 2 * time.Second
		l.factor = func(server int, at time.Duration) float64 {
			if server == 0 && at >= 6*time.Second {
				return 8
			}
			return 1
		}
		s := play(l, seed).after(8 * time.Second)
		l.tableOnly = true
		before := play(l, seed).after(8 * time.Second)
		t.Logf("at the slow server %.3f (table only %.3f), in time %.3f (%.3f)", part(s.perServer[0], s.sends), part(before.perServer[0], before.sends), part(s.inTime, s.calls), part(before.inTime, before.calls))
		is.True(part(s.perServer[0], s.sends) < part(before.perServer[0], before.sends)/2)
		is.True(part(s.inTime, s.calls) > part(before.inTime, before.calls))
	})
}

// TestNoSummaries: the owner is of an older build, so there are none. The test fails if own calls alone do not keep a router from a server that
// is eight times slower.
func TestNoSummaries(t *testing.T) {
	forFleets(t, []int{9, 62, 81}, func(t *testing.T, routers int, seed uint64) {
		is := is.New(t)
		l := three(routers, 11*time.Second)
		l.noSummaries, l.factor = true, only(8, 1)
		s := play(l, seed).after(faultStart + 2*settled) // three calls a second of a router take longer to show it
		t.Logf("at the slow server %.3f, in time %.3f", part(s.perServer[0], s.sends), part(s.inTime, s.calls))
		is.True(part(s.perServer[0], s.sends) < 0.15)
		is.True(part(s.inTime, s.calls) > 0.85)
	})
}

// TestHalfOlderBuild: half of the routers choose as before and do not report. The test fails if the others serve their calls worse than those.
func TestHalfOlderBuild(t *testing.T) {
	is := is.New(t)
	l := three(62, faultStart+7*time.Second)
	l.newBuild, l.factor = 31, only(8, 1)
	s := play(l, 1).after(faultStart + settled)
	l.tableOnly = true
	before := play(l, 1).after(faultStart + settled)
	t.Logf("in time %.3f (table only %.3f)", part(s.inTime, s.calls), part(before.inTime, before.calls))
	is.True(part(s.inTime, s.calls) > part(before.inTime, before.calls))
}

// TestDemandAtOneRouter: all calls arrive at one router of many. The test fails if it waits for the other routers' probes or knowledge.
func TestDemandAtOneRouter(t *testing.T) {
	forFleets(t, []int{9, 62, 81}, func(t *testing.T, routers int, seed uint64) {
		is := is.New(t)
		l := three(routers, 16*time.Second)
		l.oneRouter = true
		const end = 8 * time.Second
		l.factor = func(server int, at time.Duration) float64 {
			if server == 0 && at >= faultStart && at < end {
				return 8
			}
			return 1
		}
		m := play(l, seed)
		s := m.between(faultStart+settled, end)
		t.Logf("in time %.3f, at the slow server %.3f", part(s.inTime, s.calls), part(s.perServer[0], s.sends))
		is.True(part(s.inTime, s.calls) > 0.95)
		is.True(part(s.rejections, s.calls) < 0.02)
		s = m.after(end + 4*time.Second)
		t.Logf("at the server after its return: %.3f", part(s.perServer[0], s.sends))
		is.True(part(s.perServer[0], s.sends) > 0.1)
	})
}
