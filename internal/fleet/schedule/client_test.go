package schedule

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/schedule"
	codec "jaywind/internal/fleet/cbor"
	"jaywind/internal/standin/bubble"
)

const settle = time.Second // after which all owners are ready and have all reports

// TestDecisions guards against answers of the owner that reach the router changed, late or without a log line.
func TestDecisions(t *testing.T) {
	tests := map[string]struct {
		change  func(*schedule.Request)
		busy    time.Duration // for which the only engine is taken
		want    schedule.Outcome
		log     string
		counter string
	}{
		"granted":                   {want: schedule.Granted, counter: "schedule.granted"},
		"granted within the hold":   {busy: 200 * time.Millisecond, want: schedule.Granted, log: "schedule: granted after a wait", counter: "schedule.granted"},
		"granted after some holds":  {busy: 3 * time.Second, want: schedule.Granted, log: "schedule: granted after a wait", counter: "schedule.granted"},
		"refused when it is known":  {change: func(r *schedule.Request) { r.Target = 200 * time.Millisecond }, busy: time.Minute, want: schedule.Refused, log: "schedule: refused", counter: "schedule.refused.wait"},
		"refused when it waited":    {change: func(r *schedule.Request) { r.Target = time.Second }, busy: time.Minute, want: schedule.Refused, log: "schedule: refused", counter: "schedule.refused.wait"},
		"deadline leaves no time":   {change: func(r *schedule.Request) { r.Left = time.Millisecond }, want: schedule.TooLate, log: "schedule: refused", counter: "schedule.refused.deadline"},
		"deadline ends in the wait": {change: func(r *schedule.Request) { r.Left = time.Second }, busy: time.Minute, want: schedule.Refused, log: "schedule: refused", counter: "schedule.refused.wait"},
	}
	for name, c := range tests {
		for asker, where := range map[int]string{0: "owner", 1: "deputy", 2: "other"} {
			t.Run(name+", asked by the "+where, func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newFleet(t, 4, 1, 1)
					defer f.stop()
					time.Sleep(settle)
					var group conc.WaitGroup
					defer group.Wait()
					if c.busy > 0 {
						f.start(3, "before")
						group.Go(func() {
							time.Sleep(min(c.busy, 5*time.Second))
							f.routers[3].setRuns()
							f.clients[3].Wake(chat)
						})
					}
					r := request("r")
					if c.change != nil {
						c.change(&r)
					}
					begun := time.Now()
					d, err := f.clients[asker].Ask(context.Background(), chat, r)
					took := time.Since(begun)
					is.NoErr(err)
					is.Equal(d.Outcome, c.want)
					is.Equal(f.counter(asker, c.counter), int64(1))
					if d.Outcome == schedule.Granted {
						is.Equal(d.Endpoint, schedule.Key(1))
						is.True(took <= c.busy+2*minReportGap) // the report that frees the engine, and no more
						is.True(took >= c.busy)
					}
					if d.Outcome == schedule.Refused {
						is.True(d.RetryAfter > 0)
						is.True(took <= r.Target+maxHold)
					}
					if c.log == "" {
						is.Equal(f.logs.FilterMessageSnippet("schedule: ").FilterField(zap.String("request", "r")).Len(), 0)
						return
					}
					lines := f.logs.FilterMessage(c.log).FilterField(zap.String("request", "r"))
					is.Equal(lines.Len(), 1)
					fields := lines.All()[0].ContextMap()
					for _, k := range []string{"service", "ahead", "bound", "in_use", "oldest_report"} {
						_, there := fields[k]
						is.True(there)
					}
				})
			})
		}
	}
}

// TestCallerLeaves guards against a queue that stands still, or an engine that is kept, for a caller that has left.
func TestCallerLeaves(t *testing.T) {
	for asker, where := range map[int]string{0: "owner", 2: "other"} {
		t.Run(where, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 4, 1, 1)
				defer f.stop()
				time.Sleep(settle)
				f.start(3, "before")
				ctx, cancel := context.WithCancel(context.Background())
				var group conc.WaitGroup
				defer group.Wait()
				group.Go(func() {
					_, err := f.clients[asker].Ask(ctx, chat, request("left"))
					is.True(errors.Is(err, context.Canceled))
				})
				time.Sleep(600 * time.Millisecond)
				is.Equal(f.waiting(), 1)
				cancel()
				time.Sleep(time.Millisecond)
				is.Equal(f.waiting(), 0)
				f.routers[3].setRuns()
				f.clients[3].Wake(chat)
				time.Sleep(minReportGap)
				begun := time.Now()
				f.start(3, "after")
				is.True(time.Since(begun) < time.Millisecond)
			})
		})
	}
}

// TestCallerDeadline guards against a deputy that grants a slot of which the owner has granted the last, because the caller's deadline,
// which travels in whole milliseconds, has ended the question earlier at the owner.
func TestCallerDeadline(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4, 1, 1)
		defer f.stop()
		time.Sleep(settle)
		f.start(3, "before")
		for i, limit := range []time.Duration{5500 * time.Microsecond, 120500 * time.Microsecond, 1500500 * time.Microsecond} {
			ctx, cancel := context.WithTimeout(context.Background(), limit)
			_, err := f.clients[2].Ask(ctx, chat, request(jaywind.RequestID(fmt.Sprint("r", i))))
			cancel()
			is.True(errors.Is(err, context.DeadlineExceeded))
			is.Equal(f.counter(2, "schedule.owner_silent"), int64(0))
			is.Equal(f.net.count("vm1", askPath), 0)
		}
	})
}

// TestGrantForCallerThatLeft guards against an engine that is kept for a second because its caller left just when its turn came.
func TestGrantForCallerThatLeft(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4, 1, 1)
		defer f.stop()
		time.Sleep(settle)
		f.start(3, "before")
		time.Sleep(minReportGap) // its run is reported
		c := f.clients[0]
		p, s, owned := c.ownedService(chat)
		is.True(owned)
		_, w := c.ask(p, s, request("r"), maxHold)
		is.True(w != nil)
		f.routers[3].setRuns()
		f.clients[3].Wake(chat)
		time.Sleep(minReportGap)
		is.True(isClosed(w.done)) // it is granted
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		is.Equal(c.endWait(ctx, p, "r", w), reply{})
		is.Equal(f.runs(), 0)
	})
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// TestGrantBetweenQuestions guards against the loss of a turn that comes between two questions of a request, and against an engine that
// is kept for a request that is not asked for again.
func TestGrantBetweenQuestions(t *testing.T) {
	for name, again := range map[string]bool{"asks again": true, "does not": false} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 4, 1, 1)
				defer f.stop()
				time.Sleep(settle)
				f.start(3, "before")
				time.Sleep(minReportGap) // its run is reported
				c := f.clients[0]
				is.Equal(c.answer(context.Background(), chat, request("r"), 0).decision.Outcome, schedule.Queued)
				f.routers[3].setRuns()
				f.clients[3].Wake(chat)
				time.Sleep(minReportGap)
				is.Equal(f.runs(), 1) // its grant
				if again {
					is.Equal(c.answer(context.Background(), chat, request("r"), maxHold).decision.Outcome, schedule.Granted)
					is.Equal(f.runs(), 1)
				}
				time.Sleep(offerTime + tickTime)
				is.Equal(f.runs() == 1, again)
			})
		})
	}
}

// TestSameRequestOfTwoRouters guards against two routers that ask for the same request without a pause because each question ends the other.
func TestSameRequestOfTwoRouters(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4, 1, 1)
		defer f.stop()
		time.Sleep(settle)
		f.start(3, "before")
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		var group conc.WaitGroup
		for i := 1; i <= 2; i++ {
			group.Go(func() { _, _ = f.clients[i].Ask(ctx, chat, request("same")) })
		}
		group.Wait()
		is.True(f.net.count("vm0", askPath) <= 1+2*12)
	})
}

// TestOwnersFail guards against requests that wait for a router that does not answer while another one could, and for longer than the
// time-out.
func TestOwnersFail(t *testing.T) {
	tests := map[string]struct {
		owner, deputy fault
		noOwner       bool
		first, second time.Duration // most that the first and a second question take
	}{
		"owner dead":                 {owner: dead},
		"owner frozen":               {owner: frozen, first: answerTimeout},
		"deputy frozen":              {deputy: frozen},
		"both dead":                  {owner: dead, deputy: dead, noOwner: true},
		"both frozen":                {owner: frozen, deputy: frozen, noOwner: true, first: 2 * answerTimeout},
		"owner frozen, deputy dead":  {owner: frozen, deputy: dead, noOwner: true, first: answerTimeout},
		"owner dead, deputy too old": {owner: dead, deputy: outdated, noOwner: true},
		"owner too old":              {owner: outdated},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 4, 4, 1)
				defer f.stop()
				time.Sleep(settle)
				d := f.start(3, "before")
				time.Sleep(minReportGap)
				f.net.set("vm0", c.owner)
				f.net.set("vm1", c.deputy)
				for _, most := range []time.Duration{c.first, c.second} {
					begun := time.Now()
					got, err := f.clients[2].Ask(context.Background(), chat, request(jaywind.RequestID(fmt.Sprint("r", most))))
					is.True(time.Since(begun) <= most)
					is.Equal(errors.Is(err, ErrNoOwner), c.noOwner)
					if !c.noOwner {
						is.NoErr(err)
						is.Equal(got.Outcome, schedule.Granted)
						is.True(got.Endpoint != d.Endpoint) // the deputy has the reports too
					}
				}
				is.Equal(f.counter(2, "schedule.owner_silent") > 0, c.owner != sound)
			})
		})
	}
}

// TestOwnerWithoutEngines guards against an owner that refuses all requests, or keeps resumed ones waiting, because it knows no engine that
// accepts work: it has just started while the registry can't be read, or is cut off from the engines.
func TestOwnerWithoutEngines(t *testing.T) {
	tests := map[string]struct {
		without []int // routers
		resumed bool
		err     error
	}{
		"owner":                     {[]int{0}, false, nil},
		"owner, resumed":            {[]int{0}, true, nil},
		"owner and deputy":          {[]int{0, 1}, false, ErrNoOwner},
		"owner and deputy, resumed": {[]int{0, 1}, true, ErrNoOwner},
	}
	for name, c := range tests {
		for asker, where := range map[int]string{0: "owner", 1: "deputy", 2: "other"} {
			t.Run(name+", asked by the "+where, func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newFleet(t, 4, 1, 1)
					defer f.stop()
					time.Sleep(settle)
					for _, i := range c.without {
						f.routers[i].mu.Lock()
						f.routers[i].endpoints = nil
						f.routers[i].mu.Unlock()
					}
					r := request("r")
					r.Resumed = c.resumed
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					defer cancel()
					begun := time.Now()
					d, err := f.clients[asker].Ask(ctx, chat, r)
					is.True(errors.Is(err, c.err))
					is.Equal(time.Since(begun), time.Duration(0))
					if c.err == nil {
						is.Equal(d.Outcome, schedule.Granted)
						is.Equal(d.Endpoint, schedule.Key(1))
					}
				})
			})
		}
	}
}

// TestOwnerDiesWhileQueued guards against requests that stay with an owner that will never answer.
func TestOwnerDiesWhileQueued(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4, 1, 1)
		defer f.stop()
		time.Sleep(settle)
		f.start(3, "before")
		var group conc.WaitGroup
		defer group.Wait()
		group.Go(func() {
			time.Sleep(100 * time.Millisecond)
			f.net.set("vm0", frozen)
			time.Sleep(time.Second)
			f.routers[3].setRuns()
			f.clients[3].Wake(chat)
		})
		begun := time.Now()
		f.start(2, "r")
		took := time.Since(begun)
		is.True(took >= 1100*time.Millisecond)
		is.True(took <= 1100*time.Millisecond+answerTimeout+2*minReportGap)
	})
}

// TestFrozenOwnerReturns guards against grants by an owner whose reports are from before it was frozen, and against the loss of its
// service for longer than one interval.
func TestFrozenOwnerReturns(t *testing.T) {
	tests := map[string]struct {
		freeze time.Duration
		ready  bool // when it returns
	}{
		"for one second":    {time.Second, true},
		"for three seconds": {3 * time.Second, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 4, 4, 1)
				defer f.stop()
				time.Sleep(settle)
				f.start(3, "before")
				time.Sleep(minReportGap)
				f.net.set("vm0", frozen)
				f.halt(0)
				time.Sleep(c.freeze)
				f.net.set("vm0", sound)
				a, err := f.clients[2].askOne(context.Background(), "vm0", chat, request("probe"), 0)
				is.True(err != nil || a.ready == c.ready) // silent for others for up to a second more
				is.Equal(f.clients[0].answer(context.Background(), chat, request("r"), 0).ready, c.ready)
				f.run(0)
				f.start(2, "meanwhile") // by the deputy
				time.Sleep(silentTime + settle)
				a, err = f.clients[2].askOne(context.Background(), "vm0", chat, request("last"), 0)
				is.NoErr(err)
				is.True(a.ready)
				is.Equal(a.decision.InUse, 3000) // both runs and this one
			})
		})
	}
}

// TestOwnerRestarts guards against an owner that decides before it knows the runs of the others, and against runs that it never learns of.
func TestOwnerRestarts(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 5, 4, 1)
		defer f.stop()
		time.Sleep(settle)
		f.start(3, "a")
		f.start(4, "b")
		time.Sleep(minReportGap)
		f.restart(0, 4, 1)
		a, err := f.clients[2].askOne(context.Background(), "vm0", chat, request("r"), 0)
		is.NoErr(err)
		is.True(!a.ready)
		f.start(2, "c") // by the deputy
		time.Sleep(minInterval + minReportGap)
		a, err = f.clients[2].askOne(context.Background(), "vm0", chat, request("d"), 0)
		is.NoErr(err)
		is.True(a.ready)
		is.Equal(a.decision.InUse, 4000)
	})
}

// TestStart guards against grants by owners that know nothing when all routers start at once.
func TestStart(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newIdleFleet(t, 4, 4, 1)
		defer f.stop()
		_, err := f.clients[2].Ask(context.Background(), chat, request("r"))
		is.True(errors.Is(err, ErrNoOwner))
		time.Sleep(readyTime) // without any report an owner decides by itself, as other routers may run an older build
		d, err := f.clients[2].Ask(context.Background(), chat, request("r"))
		is.NoErr(err)
		is.Equal(d.Outcome, schedule.Granted)
	})
}

// TestOtherRoutersDoNotDecide guards against decisions of a router that others wrongly regard as an owner, or whose own router does not
// schedule the service.
func TestOtherRoutersDoNotDecide(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4, 4, 1)
		defer f.stop()
		time.Sleep(settle)
		a, err := f.clients[2].askOne(context.Background(), "vm3", chat, request("r"), 0)
		is.NoErr(err)
		is.True(!a.ready)
		is.True(!f.clients[2].sendTo(context.Background(), "vm3", message{service: chat, from: "vm2", number: 1}).ready)
		a, err = f.clients[2].askOne(context.Background(), "vm0", "another service", request("r"), 0)
		is.NoErr(err)
		is.True(!a.ready)
		f.routers[0].mu.Lock()
		f.routers[0].services[0].Active = false
		f.routers[0].mu.Unlock()
		a, err = f.clients[2].askOne(context.Background(), "vm0", chat, request("r"), 0)
		is.NoErr(err)
		is.True(!a.ready)
	})
}

// TestReports guards against reports that come too late or too often, and against runs that other routers don't see.
func TestReports(t *testing.T) {
	t.Run("a change", func(t *testing.T) {
		bubble.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 4, 4, 2)
			defer f.stop()
			time.Sleep(settle)
			for i := range 10 {
				time.Sleep(time.Duration(i) * 7 * time.Millisecond)
				f.routers[2].setRuns(schedule.Run{Request: "r", Endpoint: schedule.Key(i%4 + 1), Tokens: 700, Started: time.Now()})
				f.clients[2].Wake(chat)
				time.Sleep(minReportGap)
				for k := range 2 {
					p, _, _ := f.clients[k].ownedService(chat)
					p.mu.Lock()
					sum := p.scheduler.Summary(time.Now())
					p.mu.Unlock()
					is.Equal(sum.Rows[i%4].Held, 700)
				}
			}
			time.Sleep(settle)
			sum, at := f.routers[3].summary()
			is.Equal(sum.InUse, 700)
			is.True(time.Since(at) <= minInterval+summaryTime)
		})
	})
	t.Run("many changes", func(t *testing.T) {
		bubble.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 4, 4, 2)
			defer f.stop()
			time.Sleep(settle)
			before := f.routers[2].reportCount()
			for range 1000 {
				f.clients[2].Wake(chat)
				time.Sleep(time.Millisecond)
			}
			n := f.routers[2].reportCount() - before
			is.True(n >= 40)
			is.True(n <= 51)
			is.True(f.counter(2, "schedule.reports") >= int64(n))
		})
	})
	intervals := map[string]struct {
		routers int
		active  bool
		want    time.Duration
	}{
		"few routers":             {4, true, 500 * time.Millisecond},
		"100 routers":             {100, true, 600 * time.Millisecond},
		"370 routers":             {370, true, 2 * time.Second},
		"not active":              {4, false, 2 * time.Second},
		"370 routers, not active": {370, false, 2 * time.Second},
	}
	for name, c := range intervals {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 4, 4, 2)
				defer f.stop()
				f.halt(2)
				f.clients[2].Routers = func() int { return c.routers }
				f.routers[2].services[0].Active = c.active
				deputy := f.net.count("vm1", reportPath)
				f.halt(3)
				before := f.routers[2].reportCount()
				f.run(2)
				const intervals = 20
				time.Sleep(intervals * c.want)
				n := f.routers[2].reportCount() - before
				is.True(n >= intervals)
				is.True(n <= intervals*12/10)
				if !c.active {
					is.True(f.net.count("vm1", reportPath)-deputy <= intervals*5) // those of the owner, which reports every 500 ms
				}
			})
		})
	}
}

// TestInactiveServiceWithoutOwner guards against samples that are lost while an owner is down.
func TestInactiveServiceWithoutOwner(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4, 4, 2)
		defer f.stop()
		for _, r := range f.routers {
			r.mu.Lock()
			r.services[0].Active = false
			r.mu.Unlock()
		}
		time.Sleep(4 * time.Second)
		deputy := f.net.count("vm1", reportPath)
		time.Sleep(8 * time.Second)
		is.Equal(f.net.count("vm1", reportPath), deputy)
		f.net.set("vm0", dead)
		time.Sleep(8 * time.Second)
		is.True(f.net.count("vm1", reportPath) > deputy)
		_, at := f.routers[3].summary()
		is.True(time.Since(at) < 3*time.Second)
	})
}

// TestFailures guards against grants at an engine that another router has seen fail, and against failures that nobody hears of because no
// owner answered when they were reported.
func TestFailures(t *testing.T) {
	for name, down := range map[string]time.Duration{"at once": 0, "after both owners were dead": 1500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 4, 2, 1)
				defer f.stop()
				time.Sleep(settle)
				if down > 0 {
					f.net.set("vm0", dead)
					f.net.set("vm1", dead)
				}
				r := f.routers[2]
				r.mu.Lock()
				r.failed = []schedule.Failure{{Endpoint: 1, Absent: true}}
				r.mu.Unlock()
				f.clients[2].Wake(chat)
				if down > 0 {
					time.Sleep(down)
					f.net.set("vm0", sound)
					f.net.set("vm1", sound)
					time.Sleep(silentTime + minInterval)
				}
				time.Sleep(minReportGap)
				for i := range 2 {
					is.Equal(f.routers[i].failures(), []schedule.Failure{{Endpoint: 1, Absent: true}})
				}
				is.Equal(f.start(3, "r").Endpoint, schedule.Key(2))
			})
		})
	}
}

// TestOwnFailures guards against failures that a router hears of from itself, and records twice.
func TestOwnFailures(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4, 2, 1)
		defer f.stop()
		time.Sleep(settle)
		f.routers[0].mu.Lock()
		f.routers[0].failed = []schedule.Failure{{Endpoint: 1}}
		f.routers[0].mu.Unlock()
		f.clients[0].Wake(chat)
		time.Sleep(minReportGap)
		is.Equal(len(f.routers[0].failures()), 0)
		is.Equal(len(f.routers[1].failures()), 1)
	})
}

// TestNewOwnerKnowsSpeeds guards against an owner that treats slow engines as fast until it has its own samples.
func TestNewOwnerKnowsSpeeds(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4, 4, 2)
		defer f.stop()
		time.Sleep(settle)
		r := f.routers[2]
		r.mu.Lock()
		for i, e := range r.endpoints {
			m := schedule.Sample{Address: e.Address, Event: 20 * time.Millisecond}
			if i == 1 {
				m.Event = 50 * time.Millisecond
			}
			r.samples = append(r.samples, m)
		}
		r.mu.Unlock()
		time.Sleep(2 * time.Second)
		sum, _ := f.routers[3].summary()
		is.Equal(sum.Rows[1].Factor, 2.5)
		for i := range f.clients {
			f.halt(i)
		}
		f.order = []jaywind.Address{"vm3", "vm2", "vm1", "vm0"}
		for i := range f.clients {
			f.run(i)
		}
		time.Sleep(time.Second)
		sum, _ = f.routers[0].summary()
		is.Equal(sum.Rows[1].Factor, 2.5)
		is.Equal(sum.Rows[0].Factor, 1.0)
	})
}

// TestOldMessages guards against reports and summaries that newer ones have overtaken on the way.
func TestOldMessages(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 4, 4, 2)
		defer f.stop()
		time.Sleep(settle)
		for i := range f.clients {
			f.halt(i)
		}
		c := f.clients[0]
		runs := func(n int) schedule.Report { return schedule.Report{Runs: make([]schedule.Run, n)} }
		steps := []struct {
			m    message
			want int // runs
		}{
			{message{process: 1, number: 8, report: runs(3)}, 3},
			{message{process: 1, number: 7, report: runs(1)}, 3},
			{message{process: 1, number: 9, report: runs(2)}, 2},
			{message{process: 2, number: 1, report: runs(5)}, 5}, // the router has restarted
		}
		for _, s := range steps {
			s.m.service, s.m.from = chat, "vm9"
			c.receive(s.m, time.Now())
			is.Equal(f.runs(), s.want)
		}
		now := time.Now()
		c.apply(chat, schedule.Summary{Bound: 2}, now)
		c.apply(chat, schedule.Summary{Bound: 1}, now.Add(-time.Millisecond))
		sum, at := f.routers[0].summary()
		is.Equal(sum.Bound, 2)
		is.Equal(at, now)
	})
}

// TestManyRouters guards against more runs than an engine has slots, and against data races, when many requests of several routers are
// under way at once.
func TestManyRouters(t *testing.T) {
	is := is.New(t)
	const engines, slots, size = 6, 2, 5
	f := newFleet(t, size, engines, slots)
	defer f.stop()
	time.Sleep(settle)
	var mu sync.Mutex
	at, most, granted, refused := map[schedule.Key]int{}, 0, 0, 0
	var group conc.WaitGroup
	end := time.Now().Add(2 * time.Second)
	for g := range 40 {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				c, r := f.clients[g%size], f.routers[g%size]
				id := jaywind.RequestID(fmt.Sprintf("r%d.%d", g, n))
				q := request(id)
				q.Prefill = 0 // the engine has it in its cache
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				if n%8 == 7 {
					ctx, cancel = context.WithTimeout(context.Background(), 5*time.Millisecond) // its caller leaves
				}
				d, err := c.Ask(ctx, chat, q)
				cancel()
				if err != nil {
					continue
				}
				if d.Outcome != schedule.Granted {
					mu.Lock()
					refused++
					mu.Unlock()
					time.Sleep(50 * time.Millisecond)
					continue
				}
				run := runOf(id, d)
				r.mu.Lock()
				r.runs = append(r.runs, run)
				r.mu.Unlock()
				mu.Lock()
				granted++
				at[d.Endpoint]++
				most = max(most, at[d.Endpoint])
				mu.Unlock()
				c.Wake(chat)
				time.Sleep(20 * time.Millisecond)
				mu.Lock()
				at[d.Endpoint]--
				mu.Unlock()
				r.mu.Lock()
				for i := range r.runs {
					if r.runs[i].Request == id {
						r.runs = append(append([]schedule.Run(nil), r.runs[:i]...), r.runs[i+1:]...)
						break
					}
				}
				r.mu.Unlock()
				c.Wake(chat)
			}
		})
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	silent := int64(0)
	for i := range size {
		silent += f.counter(i, "schedule.owner_silent")
	}
	t.Logf("%d granted, %d refused, at most %d at one engine, %d times no answer", granted, refused, most, silent)
	is.True(most <= slots)
	is.True(granted > 100)
	is.Equal(f.runs(), 0)
	is.Equal(f.waiting(), 0)
	p, _, _ := f.clients[0].ownedService(chat)
	p.mu.Lock()
	defer p.mu.Unlock()
	is.Equal(len(p.waits)+len(p.offers), 0)
}

// TestLoopback guards against a caller's leaving that does not reach the owner over HTTP/2, and against handlers that need more than a
// mux.
func TestLoopback(t *testing.T) {
	is := is.New(t)
	f := newIdleFleet(t, 3, 1, 1)
	for i, c := range f.clients {
		s := httptest.NewUnstartedServer(f.net.handlers[string(c.Self)])
		s.Config.Protocols = codec.Protocols()
		s.Start()
		defer s.Close()
		c.HTTP, c.Self = codec.NewHTTPClient(""), jaywind.Address(s.Listener.Addr().String())
		defer c.HTTP.CloseIdleConnections()
		f.order[i] = c.Self
	}
	for i := range f.clients {
		f.run(i)
	}
	defer f.stop()
	time.Sleep(settle)
	f.start(2, "before")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group conc.WaitGroup
	defer group.Wait()
	group.Go(func() { _, _ = f.clients[2].Ask(ctx, chat, request("left")) })
	is.True(eventually(func() bool { return f.waiting() == 1 }))
	cancel()
	is.True(eventually(func() bool { return f.waiting() == 0 }))
	f.routers[2].setRuns()
	f.clients[2].Wake(chat)
	f.start(2, "after")
}

func eventually(holds func() bool) bool {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
