package router_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"jaywind"
	"jaywind/internal/core/endpoint"
	"jaywind/internal/core/retry"
	"jaywind/internal/core/route"
	"jaywind/internal/relay/router"
	"jaywind/internal/standin/bubble"
)

const (
	eventTime   = 50 * time.Millisecond  // between two events of an engine that works
	prefillTime = 200 * time.Millisecond // of a prompt
	probeTime   = 300 * time.Millisecond // until an engine that does not answer counts as silent
	lastLook    = 20 * time.Millisecond  // at a connection that is left
	streamEnd   = 120                    // events
)

// span is a time in which an engine is silent, since the start of the test.
type span struct{ from, to time.Duration }

const forever = time.Hour

// pausingEngine is an engine that is silent for some times, and whose connections break at a time.
type pausingEngine struct {
	silent []span
	breaks time.Duration // 0 for never
	mute   time.Duration // from when on the connections of before are silent for good; 0 for never
}

// wakes returns when an engine produces what it would produce at a time.
func (e *pausingEngine) wakes(at time.Duration) time.Duration {
	for _, s := range e.silent {
		if at >= s.from && at < s.to {
			return s.to
		}
	}
	return at
}

// pausingEngines is an Upstream of engines that fall silent.
type pausingEngines struct {
	fakeUpstream
	start   time.Time
	engines map[jaywind.EndpointID]*pausingEngine

	mu    sync.Mutex
	runs  map[jaywind.RequestID]int
	asked map[jaywind.EndpointID]int // calls of Answers in progress
	most  int                        // of these at one engine
}

func (u *pausingEngines) now() time.Duration { return time.Since(u.start) }

// Answers implements jaywind.Upstream.
func (u *pausingEngines) Answers(ctx context.Context, at jaywind.EndpointRef) bool {
	u.mu.Lock()
	u.asked[at.ID]++
	u.most = max(u.most, u.asked[at.ID])
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.asked[at.ID]--
		u.mu.Unlock()
	}()
	wait := u.engines[at.ID].wakes(u.now()) - u.now()
	if wait > 0 {
		wait = min(wait, probeTime)
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return u.engines[at.ID].wakes(u.now()) <= u.now()
}

// Open implements jaywind.Upstream.
func (u *pausingEngines) Open(ctx context.Context, s jaywind.UpstreamRequest, limit time.Duration) (jaywind.EventStream, jaywind.Reply, error) {
	u.mu.Lock()
	u.runs[s.Request]++
	u.mu.Unlock()
	ready := u.now() + prefillTime
	if s.Copy.Name != "" {
		ready = u.now() + 10*time.Millisecond
	}
	e := &pausedStream{engines: u, engine: u.engines[s.Endpoint.ID], request: s, next: s.LastEventID + 1, opened: u.now(), due: ready, probe: probeTime, closed: make(chan struct{})}
	stop := context.AfterFunc(ctx, func() { _ = e.Close() })
	defer stop()
	if err := e.await(limit); err != nil {
		return nil, jaywind.Reply{}, err
	}
	e.probe = 0
	return e, jaywind.Reply{}, nil
}

// pausedStream is a stream of an engine that falls silent.
type pausedStream struct {
	engines *pausingEngines
	engine  *pausingEngine
	request jaywind.UpstreamRequest
	next    int64
	opened  time.Duration
	due     time.Duration // of the next event, unless the engine is silent then
	probe   time.Duration // for which the engine is asked before OnStall
	once    sync.Once
	closed  chan struct{}
}

func (e *pausedStream) Head() jaywind.Reply { return jaywind.Reply{Status: 200} }

func (e *pausedStream) Close() error {
	e.once.Do(func() { close(e.closed) })
	return nil
}

// await waits for the time of the next event, and asks OnStall each time that limit has passed.
func (e *pausedStream) await(limit time.Duration) error {
	for {
		wakes, now := e.engine.wakes(e.due), e.engines.now()
		if e.engine.breaks > 0 && now < e.engine.breaks && wakes >= e.engine.breaks {
			wakes = e.engine.breaks
		}
		if m := e.engine.mute; m > 0 && e.opened < m && wakes >= m {
			wakes = forever
		}
		wait := wakes - now
		if wait <= 0 {
			return nil
		}
		timer := time.NewTimer(min(wait, limit+e.probe))
		select {
		case <-timer.C:
		case <-e.closed:
			timer.Stop()
			return io.ErrClosedPipe
		}
		if wakes == e.engine.breaks && e.engines.now() >= e.engine.breaks {
			return io.ErrUnexpectedEOF
		}
		if wait > limit+e.probe {
			if limit = e.request.OnStall(); limit == 0 && wakes > e.engines.now()+lastLook {
				return jaywind.ErrIdleTimeout
			}
		}
	}
}

func (e *pausedStream) Next(limit time.Duration) (jaywind.Event, error) {
	if e.next > streamEnd {
		return jaywind.Event{}, io.EOF
	}
	if err := e.await(limit); err != nil {
		return jaywind.Event{}, err
	}
	e.due = e.engines.now() + eventTime
	e.next++
	return jaywind.Event{ID: e.next - 1, Raw: []byte("x")}, nil
}

// newPausingRouter returns a router that knows the engines.
func newPausingRouter(u *pausingEngines, copies bool) *router.Router {
	r := &router.Router{Self: "vm1", Upstream: u, RetryBudget: retry.Budget{Ratio: 1, Reserve: 1000, Window: 10 * time.Second}}
	r.SetConfig(route.NewSet(1,
		[]route.Route{{Name: "s", Host: "a", Prefix: "/", Kind: route.KindStream, Resume: true, MaxAttempts: 5, EventTimeout: 700 * time.Millisecond,
			Backends: []route.Backend{{Service: "pool", Weight: 1}}}},
		[]route.Service{{Name: "pool", Engine: &route.Engine{Slots: 16, MemoryTokens: 55000, CopiesMemory: copies}}}, nil, route.Limits{}))
	for i := range len(u.engines) {
		id := jaywind.EndpointID(fmt.Sprint("e", i))
		r.UpdateEndpoint(endpoint.Entry{ID: id, Service: "pool", Address: jaywind.Address(id), Domain: jaywind.Domain(rune('a' + i%3)), Slots: 16})
	}
	return r
}

// gapCaller records the longest time between two events.
type gapCaller struct {
	caller
	last    time.Time
	longest time.Duration
}

func (c *gapCaller) WriteEvent(raw []byte) error {
	if now := time.Now(); c.events > 0 {
		c.longest = max(c.longest, now.Sub(c.last))
	}
	c.last = time.Now()
	return c.caller.WriteEvent(raw)
}

// TestEnginesSilentTogether: engines of a VM fall silent, and most of them go on. It guards against streams that leave silent engines for
// other silent ones until their attempts are used up, and against streams that stay at engines or connections that are lost.
func TestEnginesSilentTogether(t *testing.T) {
	const engines, streams = 12, 24
	all := func(int) bool { return true }
	most := func(i int) bool { return i%5 != 0 && i%5 != 3 }
	pauses := []span{{time.Second, 2200 * time.Millisecond}, {3 * time.Second, 4100 * time.Millisecond}, {5 * time.Second, 6300 * time.Millisecond}, {7 * time.Second, 8 * time.Second}}
	lost := []span{{time.Second, forever}}
	tests := map[string]struct {
		silent  func(i int) bool
		spans   []span
		breaks  time.Duration
		mute    time.Duration
		maxRuns int           // of a stream
		left    int           // runs of all streams that may be left if there are no copies; -1 for any number
		pause   time.Duration // longest one between two events
	}{
		"all pause":                                      {silent: all, spans: pauses, maxRuns: 1, pause: 1400 * time.Millisecond},
		"all pause, then all connections break":          {silent: all, left: -1, spans: pauses, breaks: 8500 * time.Millisecond, maxRuns: 2, pause: 1400 * time.Millisecond},
		"most pause":                                     {silent: most, left: 12, spans: pauses, maxRuns: 4, pause: 4 * time.Second},
		"most pause, then all connections break":         {silent: most, left: -1, spans: pauses, breaks: 8500 * time.Millisecond, maxRuns: 5, pause: 4 * time.Second},
		"all open connections are lost in silence":       {silent: all, left: -1, mute: 2 * time.Second, maxRuns: 2, pause: 900 * time.Millisecond},
		"one is lost in silence":                         {silent: func(i int) bool { return i == 0 }, left: -1, spans: lost, maxRuns: 2, pause: 1200 * time.Millisecond},
		"all of a failure domain are lost in silence":    {silent: func(i int) bool { return i%3 == 0 }, left: -1, spans: lost, maxRuns: 3, pause: 4 * time.Second},
		"half of all failure domains is lost in silence": {silent: func(i int) bool { return i%2 == 0 }, left: -1, spans: lost, maxRuns: 4, pause: 4 * time.Second},
	}
	for name, c := range tests {
		for _, size := range []struct {
			copies  bool
			routers int
		}{{true, 1}, {false, 1}, {true, streams}, {false, streams}} {
			t.Run(fmt.Sprintf("%s, copies %t, %d routers", name, size.copies, size.routers), func(t *testing.T) {
				bubble.Test(t, func(t *testing.T) {
					is := is.New(t)
					u := &pausingEngines{start: time.Now(), engines: map[jaywind.EndpointID]*pausingEngine{}, runs: map[jaywind.RequestID]int{}, asked: map[jaywind.EndpointID]int{}}
					for i := range engines {
						e := &pausingEngine{breaks: c.breaks, mute: c.mute}
						if c.silent(i) {
							e.silent = c.spans
						}
						u.engines[jaywind.EndpointID(fmt.Sprint("e", i))] = e
					}
					routers := make([]*router.Router, size.routers)
					for i := range routers {
						routers[i] = newPausingRouter(u, size.copies)
						routers[i].SetPartition(i, size.routers)
					}
					callers := make([]gapCaller, streams)
					var group conc.WaitGroup
					for i := range callers {
						group.Go(func() {
							time.Sleep(time.Duration(i) * 20 * time.Millisecond)
							callers[i].reads = streamEnd
							routers[i%size.routers].Serve(context.Background(), &router.Request{ID: jaywind.RequestID(fmt.Sprint("q", i)), Host: "a", Path: "/x", Arrived: time.Now(),
								Timeout: 25 * time.Second, PromptTokens: 800, MaxTokens: 200}, &callers[i])
						})
					}
					group.Wait()
					sum := 0
					for i := range callers {
						runs := u.runs[jaywind.RequestID(fmt.Sprint("q", i))]
						sum += runs
						is.Equal(callers[i].events, streamEnd)
						is.True(runs <= c.maxRuns)
						is.True(callers[i].longest <= c.pause)
					}
					t.Logf("%d runs", sum)
					is.True(size.copies || c.left < 0 || sum <= streams+c.left)
					is.True(u.most <= size.routers) // streams of a router share the answer of an engine
				})
			})
		}
	}
}
