package balance_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind/internal/core/balance"
	"jaywind/internal/core/schedule"
)

// pair returns two candidates with 6 slots each.
func pair() []balance.Candidate { return []balance.Candidate{{Key: 1, Slots: 6}, {Key: 2, Slots: 6}} }

// rows returns a summary of the pair.
func rows(first, second schedule.Row) schedule.Summary {
	first.Endpoint, second.Endpoint = 1, 2
	return schedule.Summary{Rows: []schedule.Row{first, second}}
}

func seeded() func() float64 { return rand.New(rand.NewPCG(1, 1)).Float64 }

// TestChoice fails if the first candidate loses its calls without a reason, or keeps them in spite of one.
func TestChoice(t *testing.T) {
	const many = 1000
	tests := map[string]struct {
		first, second schedule.Row
		least, most   int // of the calls that the first gets
	}{
		"nothing known":       {schedule.Row{}, schedule.Row{}, many, many},
		"alike":               {schedule.Row{MeanMs: 35, Open: 3}, schedule.Row{MeanMs: 30}, many, many},
		"eight times slower":  {schedule.Row{MeanMs: 240}, schedule.Row{MeanMs: 30}, 0, many / 20},
		"faster":              {schedule.Row{MeanMs: 30}, schedule.Row{MeanMs: 240}, many * 19 / 20, many},
		"rejects all":         {schedule.Row{MeanMs: 30, Rejections: 1}, schedule.Row{MeanMs: 30}, 0, many / 20},
		"all slow":            {schedule.Row{MeanMs: 240}, schedule.Row{MeanMs: 240}, many, many},
		"all reject":          {schedule.Row{MeanMs: 150, Open: 30, Rejections: 0.4}, schedule.Row{MeanMs: 150, Open: 30, Rejections: 0.4}, many, many},
		"slow but others too": {schedule.Row{MeanMs: 300}, schedule.Row{MeanMs: 240}, many, many},
		"not measured":        {schedule.Row{}, schedule.Row{MeanMs: 30}, many, many}, // a new one has to be tried
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := &balance.Balancer{Routers: 81, Random: seeded()}
			now, first := epoch, 0
			for i := range many {
				if i%20 == 0 {
					b.Apply(rows(c.first, c.second), now)
				}
				b.Arrive(pair(), balance.Safe, now)
				if b.Choose(pair(), balance.Safe, now).Index == 0 {
					first++
				}
				now = now.Add(25 * time.Millisecond)
			}
			t.Log(first)
			is.True(first >= c.least && first <= c.most)
		})
	}
}

// TestSuddenQueue: an endpoint stops to answer, and has a queue before anything shows in the learned time. The test fails if it keeps all
// calls of a router, or if the router takes it for fast because many calls are open for its learned time. It keeps some, as all routers see
// the queue, and by the time it has shrunk nobody would come.
func TestSuddenQueue(t *testing.T) {
	is := is.New(t)
	b := &balance.Balancer{Routers: 81, Random: seeded()}
	b.Choose(pair(), balance.Unsafe, epoch)
	first := 0
	for i := range 1000 {
		now := epoch.Add(time.Duration(i) * 25 * time.Millisecond)
		row := schedule.Row{MeanMs: 30}
		if i >= 20 {
			row.Open = 30
		}
		b.Apply(rows(row, schedule.Row{MeanMs: 30}), now)
		b.Arrive(pair(), balance.Safe, now)
		if b.Choose(pair(), balance.Safe, now).Index == 0 && i >= 20 {
			first++
		}
	}
	t.Log(first)
	is.True(first > 100 && first < 500)
}

// TestProbesOfAFleet: a slow endpoint is probed by all routers together about once at a time. The test fails if there are none, or if a
// larger fleet with the same demand sends more, or if all send one at the same time after a start.
func TestProbesOfAFleet(t *testing.T) {
	for _, routers := range allSizes {
		is := is.New(t)
		random := seeded()
		all := make([]*balance.Balancer, routers)
		for i := range all {
			all[i] = &balance.Balancer{Routers: routers, Random: random}
		}
		probes, firstProbes := 0, 0
		const perSecond, seconds = 242, 20
		for i := range perSecond * seconds {
			now := epoch.Add(time.Duration(i) * time.Second / perSecond)
			if i%(perSecond/2) == 0 {
				for _, b := range all {
					b.Apply(rows(schedule.Row{MeanMs: 240, Open: 1}, schedule.Row{MeanMs: 30, Open: 7}), now)
				}
			}
			b := all[indexOf(random, routers)]
			b.Arrive(pair(), balance.Safe, now)
			if b.Choose(pair(), balance.Safe, now).Probe {
				probes++
				if i < perSecond {
					firstProbes++
				}
			}
		}
		t.Logf("%d routers: %d probes in %d s, %d in the first", routers, probes, seconds, firstProbes)
		is.True(probes >= seconds && probes <= 8*seconds) // 4 a second are one at a time
		is.True(firstProbes <= 20)
	}
}

func indexOf(random func() float64, n int) int { return int(random() * float64(n)) }

// TestUnsafeProbes fails if unsafe calls are spent on probes while there are safe ones, or if a service without safe calls has no probes.
func TestUnsafeProbes(t *testing.T) {
	for name, c := range map[string]struct {
		safe bool
		want bool
	}{"beside safe calls": {true, false}, "no safe calls": {false, true}} {
		t.Run(name, func(t *testing.T) {
			b := &balance.Balancer{Routers: 1, Random: seeded()}
			probed := false
			for i := range 500 {
				now := epoch.Add(time.Duration(i) * 20 * time.Millisecond)
				b.Apply(rows(schedule.Row{MeanMs: 240}, schedule.Row{MeanMs: 30}), now)
				if c.safe {
					b.Arrive(pair(), balance.Safe, now)
				}
				b.Arrive(pair(), balance.Unsafe, now)
				probed = probed || b.Choose(pair(), balance.Unsafe, now).Probe
			}
			is.New(t).Equal(probed, c.want)
		})
	}
}

// TestOneOwnProbe fails if a router sends a second probe to an endpoint that has not answered the first.
func TestOneOwnProbe(t *testing.T) {
	is := is.New(t)
	b := &balance.Balancer{Random: func() float64 { return 0 }}
	b.Apply(rows(schedule.Row{MeanMs: 30}, schedule.Row{MeanMs: 240}), epoch)
	b.Arrive(pair(), balance.Safe, epoch)
	c := b.Choose(pair(), balance.Safe, epoch)
	is.True(c.Probe && c.Index == 1)
	call := b.Start(c, epoch)
	is.True(!b.Choose(pair(), balance.Safe, epoch).Probe)
	b.End(call, balance.Answered, epoch.Add(240*time.Millisecond))
	is.True(b.Choose(pair(), balance.Safe, epoch.Add(240*time.Millisecond)).Probe)
}

// TestShedShare: the owner's average of the rejections follows a load that exceeds what the service can serve, and ends. The test fails if
// the share is not about the excess within a second, if it is above 0 without rejections, or if it stays for longer than a second.
func TestShedShare(t *testing.T) {
	tests := map[string]struct {
		rejections  []float64 // in the summaries of all endpoints, every 500 ms
		least, most float64   // share after the last of them
	}{
		"no rejections":           {[]float64{0, 0, 0, 0}, 0, 0},
		"a few":                   {[]float64{0.04, 0.04, 0.04}, 0, 0}, // routers find another endpoint
		"a fifth too much":        {[]float64{0.2}, 0.1, 0.25},
		"half too much":           {[]float64{0.5}, 0.4, 0.55},
		"up within a second":      {[]float64{0, 0.1, 0.2}, 0.1, 0.35},
		"down within a second":    {[]float64{0.2, 0.07, 0.025}, 0, 0},
		"all rejected":            {[]float64{1, 1, 1, 1, 1, 1}, 0.9, 0.96}, // some calls find out when it ends
		"after no more summary":   {[]float64{0.2, -1, -1, -1, -1, -1, -1, -1}, 0, 0},
		"again after it was gone": {[]float64{0.2, 0.07, 0.025, 0.01, 0.2}, 0.1, 0.25},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := &balance.Balancer{Routers: 9, Random: seeded()}
			for i, x := range c.rejections {
				now := epoch.Add(time.Duration(i) * 500 * time.Millisecond)
				if x >= 0 {
					b.Apply(rows(schedule.Row{MeanMs: 150, Open: 30, Rejections: x}, schedule.Row{MeanMs: 150, Open: 30, Rejections: x}), now)
				}
				b.Arrive(pair(), balance.Safe, now)
			}
			t.Log(b.ShedShare())
			is.True(b.ShedShare() >= c.least && b.ShedShare() <= c.most)
		})
	}
}

// TestNoSheddingBesideRoom fails if calls are refused because one endpoint rejects or fails them while the other one has room.
func TestNoSheddingBesideRoom(t *testing.T) {
	is := is.New(t)
	b := &balance.Balancer{Random: seeded()}
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		b.Apply(rows(schedule.Row{MeanMs: 30, Rejections: 1}, schedule.Row{MeanMs: 30}), now)
		is.True(!b.Arrive(pair(), balance.Safe, now))
		b.End(b.Start(balance.Choice{Key: 1}, now), balance.Rejected, now)
	}
}

// TestSamples fails if a report misses a call, counts one twice or reports one that was not sent.
func TestSamples(t *testing.T) {
	is := is.New(t)
	b := &balance.Balancer{}
	var calls []*balance.Call
	for range 6 {
		calls = append(calls, b.Start(balance.Choice{Key: 1}, epoch))
	}
	is.Equal(b.Samples(), []schedule.PlainSample{{Endpoint: 1, Open: 6}})
	for i, o := range []balance.Outcome{balance.Answered, balance.Rejected, balance.Failed, balance.Abandoned, balance.NotSent} {
		b.End(calls[i], o, epoch.Add(40*time.Millisecond))
		b.End(calls[i], balance.Answered, epoch.Add(50*time.Millisecond)) // has ended
	}
	is.Equal(b.Samples(), []schedule.PlainSample{{Endpoint: 1, Calls: 1, Time: 40 * time.Millisecond, Rejected: 1, Failed: 1, Open: 1}})
	b.End(calls[5], balance.TimedOut, epoch.Add(time.Second)) // 25 times the usual time
	is.Equal(b.Samples(), []schedule.PlainSample{{Endpoint: 1, Failed: 1}})
	is.Equal(len(b.Samples()), 0)
}

// TestHangingCall fails if an endpoint that does not answer at all keeps its learned time until its calls time out.
func TestHangingCall(t *testing.T) {
	is := is.New(t)
	b := &balance.Balancer{Random: seeded()}
	for i := range 20 {
		now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		for _, c := range pair() {
			b.End(b.Start(balance.Choice{Key: c.Key}, now), balance.Answered, now.Add(30*time.Millisecond))
		}
	}
	now := epoch.Add(3 * time.Second)
	is.True(b.Spread(pair(), now) < 1.1)
	b.Start(balance.Choice{Key: 1}, now)
	is.True(b.Spread(pair(), now.Add(300*time.Millisecond)) > 1.5)
}

// TestRetryAfter fails if callers are told a time other than that which the endpoint with the shortest queue takes to work it off.
func TestRetryAfter(t *testing.T) {
	tests := map[string]struct {
		first, second schedule.Row
		repeats       int // of the summary
		least, most   time.Duration
	}{
		"full":             {schedule.Row{MeanMs: 150, Open: 30}, schedule.Row{MeanMs: 150, Open: 30}, 20, 130 * time.Millisecond, 170 * time.Millisecond},
		"one is shorter":   {schedule.Row{MeanMs: 150, Open: 30}, schedule.Row{MeanMs: 75, Open: 15}, 20, 65 * time.Millisecond, 85 * time.Millisecond},
		"nothing known":    {schedule.Row{}, schedule.Row{}, 1, 50 * time.Millisecond, 50 * time.Millisecond},
		"eight times slow": {schedule.Row{MeanMs: 1200, Open: 30}, schedule.Row{MeanMs: 1200, Open: 30}, 20, 1100 * time.Millisecond, 1300 * time.Millisecond},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := &balance.Balancer{}
			now := epoch
			b.RetryAfter(pair(), now) // tells the slots
			for range c.repeats {
				now = now.Add(500 * time.Millisecond)
				b.Apply(rows(c.first, c.second), now)
			}
			wait := b.RetryAfter(pair(), now)
			t.Log(wait)
			is.True(wait >= c.least && wait <= c.most)
		})
	}
}

// TestOldSummary fails if a summary that arrives late replaces a newer one.
func TestOldSummary(t *testing.T) {
	is := is.New(t)
	b := &balance.Balancer{Random: seeded()}
	b.Apply(rows(schedule.Row{MeanMs: 240}, schedule.Row{MeanMs: 30}), epoch.Add(time.Second))
	b.Apply(rows(schedule.Row{MeanMs: 30}, schedule.Row{MeanMs: 30}), epoch)
	is.True(b.Spread(pair(), epoch.Add(time.Second)) > 7)
}
