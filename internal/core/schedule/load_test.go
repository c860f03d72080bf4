package schedule_test

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

// urgent and bulk are the streams of the first deployment of docs/HARDLOAD.md.
func urgent(rate func(time.Duration) float64) kind {
	return kind{target: 4 * time.Second, deadline: 25 * time.Second, prompt: 5200, output: 650, events: 130, rate: rate, only: -1}
}

func bulk(rate func(time.Duration) float64) kind {
	k := urgent(rate)
	k.priority, k.target = 2, 10*time.Second
	return k
}

// share returns the share of the streams of a priority that arrived in a time and were good, and their number.
func (m *model) share(priority int, from, to time.Duration) (good float64, n int) {
	for _, s := range m.all {
		if (priority < 0 || s.priority == priority) && s.arrived >= from && s.arrived < to {
			n++
			if s.good() {
				good++
			}
		}
	}
	return good / max(1, float64(n)), n
}

// TestBurstOnCrashedDomain guards against the feedback loop of trouble-2: a burst of bulk streams while a third of the engines is down,
// after which prompts that are prefilled again keep the engines too busy for new ones.
func TestBurstOnCrashedDomain(t *testing.T) {
	const each, downtime = 6500 * time.Millisecond, 1200 * time.Millisecond
	const from, to = 2 * each, 3 * each // of the burst
	const recovered = to + 5*time.Second
	const last = recovered + 2*each // of the streams that count
	for _, routers := range []int{9, 73, 195, 300} {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			t.Parallel()
			play := func(p policy) *model {
				m := newModel(p, routers, 120, urgent(steady(2.9)), bulk(func(at time.Duration) float64 {
					if at >= from && at < to {
						return 2.1 * 35.1
					}
					return 35.1
				}))
				m.faults = func(now time.Duration) {
					domain := int(now/each) % 3
					if now >= each && now%each == 0 {
						m.crash(func(e *engine) bool { return e.domain == domain })
					}
					if now >= each && now%each == downtime {
						for _, e := range m.engines {
							if !e.up {
								m.start(e)
							}
						}
					}
				}
				m.play(last + 25*time.Second)
				return m
			}
			m, old := play(scheduled), play(ownCalls)
			for name, o := range map[string]*model{"scheduled": m, "own calls": old} {
				before, _ := o.share(-1, 0, from)
				in, _ := o.share(-1, from, to)
				after, _ := o.share(-1, to, recovered)
				end, _ := o.share(-1, recovered, last)
				t.Logf("%s: good before the burst %.3f, in it %.3f, in 5 s after it %.3f, then %.3f; %d preempted, %.1f million tokens prefilled again",
					name, before, in, after, end, o.preempted, float64(o.rework)/1e6)
			}
			for at := recovered; at < last; at += each {
				if good, _ := m.share(-1, at, at+each); good < 0.9 {
					t.Errorf("good from %v on: %.3f, want 0.9", at, good)
				}
				if good, _ := old.share(-1, at, at+each); good >= 0.9 {
					t.Errorf("good with own calls from %v on: %.3f; the load shows no difference", at, good)
				}
			}
			for name, span := range map[string][2]time.Duration{"in the burst": {from, to}, "in all": {0, last}} {
				u, _ := m.share(0, span[0], span[1])
				b, _ := m.share(2, span[0], span[1])
				oldU, _ := old.share(0, span[0], span[1])
				oldB, _ := old.share(2, span[0], span[1])
				t.Logf("%s: urgent %.3f, bulk %.3f; with own calls %.3f and %.3f", name, u, b, oldU, oldB)
				if u < b {
					t.Errorf("good %s: urgent %.3f, fewer than bulk, %.3f", name, u, b)
				}
			}
		})
	}
}

// capacity returns the streams a second that an engine of factor 1 can finish: as many run as 0.9 of its memory can take with their
// copies, and each of their steps is longer while the prompt of another one is being prefilled.
func (m *model) capacity(k kind) float64 {
	s := stream{kind: &k}
	n := math.Min(float64(m.slots), 0.9*modelMemory/float64(2*s.tokens()))
	step := (m.stepMs + m.slotMs*n) / 1000
	prefill := float64(k.prompt) / prefillChunk * (step + prefillStepMs/1000)
	low, high := 0.0, 1/prefill
	for range 50 {
		rate := (low + high) / 2
		busy := rate * prefill // share of the time in which a prompt is being prefilled
		perSecond := (1-busy)/step + busy/(step+prefillStepMs/1000)
		if rate*(prefill+float64(k.output)/perSecond) > n {
			high = rate
		} else {
			low = rate
		}
	}
	return low
}

// capacityOf returns the streams a second that a number of engines can finish.
func capacityOf(engines int, k kind) float64 {
	return float64(engines) * newModel(scheduled, 1, 0).capacity(k)
}

// TestUrgentBesideBulk guards against urgent streams that wait behind bulk ones, bulk ones that get nothing although engines have room, and
// a service that serves less the more is asked of it.
func TestUrgentBesideBulk(t *testing.T) {
	testUrgent(t, map[string]shares{
		"once the capacity":       {0.2, 0.8},
		"twice the capacity":      {0.4, 1.6},
		"four times the capacity": {0.3, 3.7},
		"urgent alone, twice":     {2, 0},
	})
}

// TestUrgentNearCapacity guards against the same where the urgent streams alone need most of the capacity or all.
func TestUrgentNearCapacity(t *testing.T) {
	testUrgent(t, map[string]shares{"four times the capacity": {0.8, 3.2}, "half of them urgent, at twice": {1, 1}})
}

// shares are the rates of streams as shares of the capacity.
type shares struct{ urgent, bulk float64 }

func testUrgent(t *testing.T, tests map[string]shares) {
	const engines, from, to = 30, 15 * time.Second, 45 * time.Second
	all := capacityOf(engines, bulk(nil))
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			play := func(p policy) *model {
				return newModel(p, 24, engines, urgent(steady(c.urgent*all)), bulk(steady(c.bulk*all))).play(to + 25*time.Second)
			}
			m, old := play(scheduled), play(ownCalls)
			u, n := m.share(0, from, to)
			b, _ := m.share(2, from, to)
			served, _ := m.share(-1, from, to)
			served *= c.urgent + c.bulk // of the capacity
			before, _ := old.share(-1, from, to)
			oldU, _ := old.share(0, from, to)
			t.Logf("good: urgent %.3f, bulk %.3f, both %.2f of the capacity, %.2f of the bound; with own calls: urgent %.3f, both %.2f", u, b, served, m.worst, oldU, before*(c.urgent+c.bulk))
			if want := 0.9 * math.Min(1, 1/c.urgent); n > 0 && u < want {
				t.Errorf("good urgent streams: %.3f, want %.3f", u, want)
			}
			if left := math.Min(1, math.Max(0, 1-c.urgent)/math.Max(0.01, c.bulk)); b < 0.9*left {
				t.Errorf("good bulk streams: %.3f, want %.3f", b, 0.9*left)
			}
			if u < b && c.urgent < 1 {
				t.Errorf("good urgent streams: %.3f, fewer than bulk ones: %.3f", u, b)
			}
			if m.worst > 1.01 {
				t.Errorf("%.2f of the bound were reserved", m.worst)
			}
			if served < before*(c.urgent+c.bulk)-0.02 {
				t.Errorf("served %.2f of the capacity, %.2f with own calls", served, before*(c.urgent+c.bulk))
			}
		})
	}
}

// TestFlood guards against one organisation that floods a service and keeps the others from it. The page gives it half of the work, so the
// others are served as without it up to half of the capacity; a twentieth of their streams may be lost.
func TestFlood(t *testing.T) {
	const engines, from, to = 30, 15 * time.Second, 45 * time.Second
	t.Parallel()
	all := capacityOf(engines, bulk(nil))
	play := func(p policy, times float64) (float64, float64) {
		others, flood := bulk(steady(0.4*all)), bulk(steady(times*0.4*all))
		flood.of = "flood"
		m := newModel(p, 24, engines, others, flood).play(to + 25*time.Second)
		var good, n [2]float64
		for _, s := range m.all {
			i := 0
			if s.organisation == "flood" {
				i = 1
			}
			if s.arrived >= from && s.arrived < to {
				n[i]++
				if s.good() {
					good[i]++
				}
			}
		}
		return good[0] / n[0], good[1] / math.Max(1, n[1])
	}
	alone, _ := play(scheduled, 0)
	beside, flood := play(scheduled, 10)
	old, _ := play(ownCalls, 10)
	t.Logf("good streams of the others: %.3f alone, %.3f beside a flood (of which %.3f are good), %.3f with own calls", alone, beside, flood, old)
	if beside < alone-0.05 {
		t.Errorf("good streams of the others: %.3f beside a flood, %.3f without", beside, alone)
	}
	if flood < 0.9*0.5/4 {
		t.Errorf("good streams of the flood: %.3f, want %.3f, as half of the capacity is left", flood, 0.9*0.5/4)
	}
}

// TestDemandAtOneRouter guards against capacity that is divided between routers, most of which have no use for it.
func TestDemandAtOneRouter(t *testing.T) {
	const engines, from, to = 30, 5 * time.Second, 35 * time.Second
	t.Parallel()
	rate := 4 * capacityOf(engines, bulk(nil)) // two requests an engine in the first second
	busyAt := func(m *model) (n float64) {
		for _, e := range m.engines {
			if len(e.runs)+len(e.prompts) > 0 {
				n++
			}
		}
		return n / engines
	}
	play := func(only int) (busy, good float64, worst float64) {
		k := bulk(steady(rate))
		k.only = only
		m := newModel(scheduled, 73, engines, k).play(time.Second)
		busy = busyAt(m)
		good, _ = m.play(to+25*time.Second).share(-1, from, to)
		return busy, good, m.worst
	}
	busy, one, worst := play(0)
	_, spread, _ := play(-1)
	k := bulk(steady(rate))
	k.only = 0
	old, _ := newModel(ownCalls, 73, engines, k).play(to+25*time.Second).share(-1, from, to)
	t.Logf("%.2f of the engines work after 1 s; good %.3f at one router, %.3f at all, %.2f of the bound; with own calls %.3f", busy, one, spread, worst, old)
	if busy < 1 {
		t.Errorf("%.2f of the engines work after a second of four times the capacity", busy)
	}
	if one < 0.9*spread {
		t.Errorf("good: %.3f at one router, %.3f at all", one, spread)
	}
	if worst > 1.01 {
		t.Errorf("%.2f of the bound were reserved", worst)
	}
}

// TestAllEnginesLost guards against a service that doesn't recover when all its engines were lost at the same time, as resumed runs wait
// for each other or new ones for them.
func TestAllEnginesLost(t *testing.T) {
	const engines, lost, back, from, to = 120, 10 * time.Second, 12 * time.Second, 15 * time.Second, 25 * time.Second
	for _, routers := range []int{9, 195} {
		t.Run(fmt.Sprintf("%d routers", routers), func(t *testing.T) {
			t.Parallel()
			play := func(p policy) *model {
				m := newModel(p, routers, engines, urgent(steady(2.9)), bulk(steady(35.1)))
				m.faults = func(now time.Duration) {
					switch now {
					case lost:
						m.crash(func(*engine) bool { return true })
					case back:
						for _, e := range m.engines {
							m.start(e)
						}
					}
				}
				return m.play(to + 25*time.Second)
			}
			m, old := play(scheduled), play(ownCalls)
			running, _ := m.share(-1, lost-4*time.Second, lost)
			in, _ := m.share(-1, lost, back)
			first, _ := m.share(-1, back, from)
			got, _ := m.share(-1, from, to)
			before, _ := old.share(-1, from, to)
			oldRunning, _ := old.share(-1, lost-4*time.Second, lost)
			t.Logf("good: of the last 4 s before %.3f, in the outage %.3f, 3 s after it %.3f, then %.3f; with own calls %.3f and %.3f", running, in, first, got, oldRunning, before)
			if got < 0.9 {
				t.Errorf("good 3 s after the engines are back: %.3f, want 0.9", got)
			}
			if n := m.owner.Waiting(); n > 0 {
				t.Errorf("%d requests still wait", n)
			}
			for _, s := range m.all {
				if s.resumed && s.end == unset && s.arrived+s.deadline > from+10*time.Second {
					t.Errorf("stream %s was lost and has not ended", s.id)
					break
				}
			}
		})
	}
}

// TestReturningCallers guards against refused callers that all return at the same time, and against callers that return at once and are
// served better for it than those that wait as they are told.
func TestReturningCallers(t *testing.T) {
	const engines, from, to = 30, 15 * time.Second, 45 * time.Second
	t.Parallel()
	all := capacityOf(engines, bulk(nil))
	told, hasty := bulk(steady(1.2*all)), bulk(steady(0.3*all))
	told.patience, hasty.patience, hasty.back = 20*time.Second, 20*time.Second, 100*time.Millisecond
	told.of, hasty.of = "told", "hasty"
	play := func(p policy) (share [2]float64, m *model) {
		m = newModel(p, 24, engines, told, hasty).play(to + 90*time.Second)
		var n [2]float64
		served := map[*stream]bool{}
		for _, s := range m.all {
			if s.good() {
				served[s.caller] = true
			}
		}
		for _, s := range m.all {
			if s.caller != s || s.arrived < from || s.arrived >= to {
				continue
			}
			i := 0
			if s.of == "hasty" {
				i = 1
			}
			n[i]++
			if served[s] {
				share[i]++
			}
		}
		return [2]float64{share[0] / n[0], share[1] / n[1]}, m
	}
	got, m := play(scheduled)
	old, _ := play(ownCalls)
	const window = 500 * time.Millisecond
	counts := map[time.Duration]int{}
	total, most := 0, 0
	for _, s := range m.all {
		if s.caller != s && s.of == "told" && s.arrived >= from && s.arrived < to {
			counts[s.arrived/window]++
			total++
			most = max(most, counts[s.arrived/window])
		}
	}
	mean := float64(total) / float64((to-from)/window)
	t.Logf("good callers: %.3f of those that wait as told, %.3f of those that return at once; with own calls %.3f and %.3f; at most %d returns in 500 ms, %.1f on average", got[0], got[1], old[0], old[1], most, mean)
	if got[0] < got[1]-0.02 {
		t.Errorf("good callers: %.3f of those that wait as told, %.3f of those that return at once", got[0], got[1])
	}
	if total == 0 || float64(most) > 3*mean+3*math.Sqrt(mean) {
		t.Errorf("%d callers return in 500 ms, %.1f on average", most, mean)
	}
}

// TestThreeSpeeds guards against slow engines that get as many streams as fast ones (observation 6 of the page). The oracle knows the true
// speeds and the true work of all engines.
func TestThreeSpeeds(t *testing.T) { testThreeSpeeds(t, 0.5, 0.8) }

// TestThreeSpeedsOverCapacity guards against the same with more streams than the bound of the scheduler allows.
func TestThreeSpeedsOverCapacity(t *testing.T) { testThreeSpeeds(t, 1.1) }

func testThreeSpeeds(t *testing.T, loads ...float64) {
	const engines, from, to = 30, 10 * time.Second, 25 * time.Second
	for name, change := range map[string]func(m *model, k *kind){
		"":                 func(*model, *kind) {},
		", with noise":     func(m *model, _ *kind) { m.noisy = true },
		", of any lengths": func(_ *model, k *kind) { k.tailed = true },
	} {
		for _, load := range loads {
			t.Run(fmt.Sprintf("%.1f of the capacity%s", load, name), func(t *testing.T) {
				t.Parallel()
				play := func(p policy) (mean, good float64) {
					k := kind{target: 4500 * time.Millisecond, deadline: 30 * time.Second, prompt: 1000, output: 1260, events: 140, only: -1}
					m := newModel(p, 62, engines, k)
					m.stepMs, m.slots = 4.6, 16
					change(m, &m.kinds[0])
					rate := 0.0
					for i, e := range m.engines {
						e.domain = (i / 3) % 3
						e.factor = []float64{0.7, 0.7, 1.7}[i%3]
						rate += load * m.capacity(m.kinds[0]) / e.factor
					}
					if m.noisy {
						rate /= 0.85 + 0.15*2.5
					}
					m.kinds[0].rate = steady(rate)
					m.setEndpoints()
					m.play(to + 30*time.Second)
					n := 0.0
					for _, s := range m.all {
						if s.arrived >= from && s.arrived < to {
							n++
							mean += min(s.deadline, s.end-s.arrived).Seconds() // the deadline for one that has not ended, so that refusals don't make a policy better
						}
					}
					good, _ = m.share(-1, from, to)
					return mean / n, good
				}
				got, good := play(scheduled)
				best, bestGood := play(oracle)
				old, oldGood := play(ownCalls)
				t.Logf("mean time to the end: %.2f s, oracle %.2f s, own calls %.2f s; good %.3f, %.3f and %.3f", got, best, old, good, bestGood, oldGood)
				if got > 1.1*best {
					t.Errorf("mean time to the end: %.2f s, more than a tenth over the oracle's %.2f s", got, best)
				}
				if got > 0.85*old {
					t.Errorf("mean time to the end: %.2f s, want 0.85 of the %.2f s of own calls", got, old)
				}
				if good < 0.9*bestGood {
					t.Errorf("good: %.3f, the oracle's %.3f", good, bestGood)
				}
			})
		}
	}
}

// TestFailures checks how much room is lost and how much too much is admitted when reports, grants or the owner fail. The load is one and a
// half times the capacity, so all room that is lost or given twice shows.
func TestFailures(t *testing.T) {
	const at, to = 15 * time.Second, 40 * time.Second
	tests := map[string]struct {
		routers, engines int
		change           func(m *model)
		over             float64 // share of the bound that may be admitted beyond it
		lost             float64 // share of the good streams that may be lost
	}{
		// An engine takes its next prompt only after the report that the last one is processed, so late reports lengthen the 1.3 s of a
		// prefill. Grants end after a second, so with later reports a prefill of a third of that time may be granted twice.
		"reports are 0.5 s late": {73, 30, func(m *model) { m.delay = 500 * time.Millisecond }, 0.02, 0.5 / 1.8},
		"reports are 1.1 s late": {73, 30, func(m *model) { m.delay = 1100 * time.Millisecond }, 0.15, 1.1 / 2.4},
		// The successor answers after one interval, of up to 1.8 s in 25 s. Until then a router starts what its share of the bound allows.
		// Those that had more keep it: of 14 runs a router, the mean excess is 0.4 standard deviations, a tenth, and may be twice that.
		"owner lost, 9 routers":   {9, 30, loseOwner(at), 0.2, 0.1},
		"owner lost, 73 routers":  {73, 30, loseOwner(at), 0.1, 0.1},
		"owner lost, 300 routers": {300, 120, loseOwner(at), 0.1, 0.1},
		// A ninth of the runs isn't counted once their grants end, and as many others are granted in their place and delayed.
		"a router never reports": {9, 30, func(m *model) { m.routers[0].silent = true }, 0.2, 1.0/9 + 0.1},
		// It gets a ninth of the grants, and as large a part of the good streams is its own. Each takes room for one second.
		"a router uses no grant": {9, 30, func(m *model) { m.routers[0].drops = true }, 0.01, 1.0/9 + 0.1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rate := 1.5 * capacityOf(c.engines, bulk(nil))
			play := func(p policy, change func(m *model)) (ended float64, m *model) {
				m = newModel(p, c.routers, c.engines, bulk(steady(rate)))
				change(m)
				m.play(to + 25*time.Second)
				for _, s := range m.all { // by their end, as a lost queue that fills again would hide lost room
					if s.good() && s.end >= at && s.end < to {
						ended += 1.5 / rate / (to - at).Seconds()
					}
				}
				return ended, m
			}
			none := func(*model) {}
			want, _ := play(scheduled, none)
			good, m := play(scheduled, c.change)
			before, old := play(ownCalls, none)
			t.Logf("%.3f of the bound at most; good ends %.3f of the capacity, without the failure %.3f, with own calls %.3f and %.2f of the bound", m.worst, good, want, before, old.worst)
			if m.worst > 1+c.over {
				t.Errorf("%.3f of the bound were reserved, want %.3f", m.worst, 1+c.over)
			}
			if good < want*(1-c.lost) {
				t.Errorf("good ends: %.3f of the capacity, want %.3f, which is %.2f less than without the failure", good, want*(1-c.lost), c.lost)
			}
		})
	}
}

// loseOwner replaces the owner at a time by one without state, which answers after the longest interval between reports.
func loseOwner(at time.Duration) func(m *model) {
	return func(m *model) {
		m.faults = func(now time.Duration) {
			if now == at {
				m.replaceOwner()
				m.unready = at + m.interval()
			}
		}
	}
}
