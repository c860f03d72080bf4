package generate_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"jaywind"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/step"
	"jaywind/internal/core/table"
	"jaywind/internal/fleet/journal"
	standin "jaywind/internal/standin/engine"
)

const (
	beat       = 5 * time.Millisecond   // the world's step
	fullEvery  = 4                      // beats
	tokenGap   = 20 * time.Millisecond  // of an engine
	prefill    = 200 * time.Millisecond // and first token, of an engine
	wholeLimit = 40                     // tokens
	crowdLimit = 10 * wholeLimit
	prompt     = "fins"
)

var (
	errReset   = errors.New("connection reset")
	errTimeout = errors.New("no answer")
)

// world plays engines and callers against cores in virtual time.
type world struct {
	t       testing.TB
	now     time.Time
	probes  int // sent by all routers
	beats   int
	routers []*router
	engines map[jaywind.EndpointID]*engine
	conns   []*conn
	callers map[jaywind.RequestID]*caller
	opens   int
	limit   int // tokens of an answer
	prefill time.Duration
	urgent  jaywind.Priority // of all callers but r1's
	keepers map[jaywind.VM]*journal.Book
}

type router struct {
	lost       bool
	pausedTill time.Time
	joined     map[jaywind.RequestID]table.Listener
	core       step.Core
	pending    []pending
}

type pending struct {
	at    time.Time
	event table.Event
}

// engine makes tokens that depend on its own salt.
type engine struct {
	id       jaywind.EndpointID
	salt     uint64
	gap      time.Duration
	wait     func() time.Duration // added to a gap; nothing when nil
	dead     bool                 // connections are refused
	muteTill time.Time            // takes connections and answers nothing
	refuse   bool
	noResume bool
	deaf     int // probes to lose
	runs     map[jaywind.Work]*run
}

type run struct {
	call   jaywind.Call
	tokens []jaywind.Token
	next   time.Time
	stuck  bool // makes and sends nothing more while the engine's other runs go on
	unsent bool // sends nothing more, on any connection
}

// conn is one stream; frames of one that the router has closed still arrive late.
type conn struct {
	router int
	engine *engine
	run    *run
	call   jaywind.Call
	sent   int
	ended  bool
	mute   bool
	tamper func(jaywind.Frame) []jaywind.Frame // the next frame
}

// caller reads one answer and checks each token.
type caller struct {
	router   int
	listener table.Listener
	tokens   []jaywind.Token
	mark     jaywind.Bookmark
	finals   []table.Finish
	last     time.Time
	longest  time.Duration
	away     bool
}

func newWorld(t testing.TB, routers int) *world {
	w := &world{t: t, now: time.Unix(1000, 0), engines: map[jaywind.EndpointID]*engine{}, callers: map[jaywind.RequestID]*caller{}, limit: wholeLimit, prefill: prefill}
	for i, id := range []jaywind.EndpointID{"e1", "e2", "e3"} {
		w.engines[id] = &engine{id: id, salt: uint64(i), gap: tokenGap, runs: map[jaywind.Work]*run{}}
	}
	for i := range routers {
		state := table.New(7)
		state.Self = jaywind.VM(fmt.Sprint("vm", i))
		state.Domain = "a"
		state.Fleet.Self = jaywind.Member{VM: state.Self, Domain: "a"}
		w.routers = append(w.routers, &router{core: step.Core{State: state}, joined: map[jaywind.RequestID]table.Listener{}})
	}
	w.keepers = map[jaywind.VM]*journal.Book{"vm7": {}, "vm8": {}, "vm9": {}}
	w.rule(1, "e1", "e2", "e3")
	return w
}

// rule puts rules with these replicas in force everywhere.
func (w *world) rule(version jaywind.RulesVersion, ids ...jaywind.EndpointID) {
	set := rule.New()
	set.Models["heat"] = rule.Model{Name: "heat", Version: "v1"}
	for _, id := range ids {
		set.Endpoints[id] = rule.Endpoint{ID: id, Kind: rule.KindEngine, Model: "heat", Version: "v1", URL: jaywind.Address(id)}
	}
	for i := range w.routers {
		w.post(i, 0, table.Ruled{Version: version, Set: set})
	}
}

func (w *world) post(router int, after time.Duration, e table.Event) {
	r := w.routers[router]
	r.pending = append(r.pending, pending{w.now.Add(after), e})
}

// ask connects a caller to a router, with what it has read when it comes back.
func (w *world) ask(id jaywind.RequestID, router int, prefix bool) {
	c := w.callers[id]
	if c == nil {
		c = &caller{last: w.now}
		w.callers[id] = c
	}
	c.router = router
	c.listener++
	c.away = false
	a := table.Ask{ID: id, Retry: c.listener > 1, Model: "heat", Prompt: prompt, Limit: w.limit, Seed: 3, Listener: c.listener}
	if id != "r1" {
		a.Limit = max(a.Limit, crowdLimit)
		a.Priority = w.urgent
	}
	if len(c.tokens) > 0 {
		mark := c.mark
		a.Mark = &mark
	}
	if prefix {
		a.Prefix = slices.Clone(c.tokens)
	}
	w.post(router, 0, table.Arrived{Ask: a})
}

// leave disconnects the caller of r1.
func (w *world) leave() { w.part("r1") }

func (w *world) part(id jaywind.RequestID) {
	c := w.callers[id]
	c.away = true
	w.post(c.router, 0, table.Gone{Request: id, Listener: c.listener})
}

// surround has other callers of the same router ask for long answers, some of them from the same engine.
func (w *world) surround(c *conn) {
	for i := range 2 * len(w.engines) {
		id := jaywind.RequestID(fmt.Sprint("other", c.router, i))
		if w.callers[id] == nil {
			w.ask(id, c.router, false)
		}
	}
}

// disperse ends the requests of the other callers.
func (w *world) disperse() {
	for _, id := range slices.Sorted(maps.Keys(w.callers)) {
		if strings.HasPrefix(string(id), "other") {
			w.part(id)
		}
	}
}

func (w *world) beat() {
	w.now = w.now.Add(beat)
	w.beats++
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		w.engines[id].work(w.now)
	}
	for _, c := range slices.Clone(w.conns) {
		w.send(c)
	}
	for i, r := range w.routers {
		if r.lost || w.now.Before(r.pausedTill) {
			continue
		}
		if len(r.core.State.Fleet.Members) != len(w.keepers) || w.beats%200 == 0 {
			w.gather(r.core.State)
		}
		var due []table.Event
		r.pending = slices.DeleteFunc(r.pending, func(p pending) bool {
			if p.at.After(w.now) {
				return false
			}
			due = append(due, p.event)
			return true
		})
		for _, c := range r.core.Step(w.now, w.beats%fullEvery == 0, due) {
			w.execute(i, c)
		}
	}
}

func (w *world) run(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); {
		w.beat()
	}
}

// gather keeps the peers alive in a router's view of the fleet.
func (w *world) gather(s *table.State) {
	s.Fleet.Members = map[jaywind.VM]*table.Member{}
	for i, vm := range slices.Sorted(maps.Keys(w.keepers)) {
		m := jaywind.Member{VM: vm, Domain: jaywind.Domain(fmt.Sprint("d", i)), Fleet: jaywind.Address(vm)}
		s.Fleet.Members[vm] = &table.Member{Member: m, Since: w.now}
	}
}

// recall answers with the longest record that a keeper has.
func (w *world) recall(c table.RecallRecord) table.Recalled {
	best := table.Recalled{Request: c.Request, Err: jaywind.ErrAbsent}
	for _, m := range c.Peers {
		if w.keepers[m.VM] == nil {
			continue
		}
		if r, err := w.keepers[m.VM].Recall(c.Request); err == nil && (best.Err != nil || r.Mark.Position > best.Record.Mark.Position) {
			best.Record, best.Err = r, nil
		}
	}
	return best
}

// idle tells whether no router has a request.
func (w *world) idle() bool {
	return !slices.ContainsFunc(w.routers, func(r *router) bool { return !r.lost && len(r.core.State.Requests) > 0 })
}

// work makes the tokens that are due.
func (e *engine) work(now time.Time) {
	if e.dead || now.Before(e.muteTill) {
		return
	}
	for _, u := range e.runs {
		for !u.stuck && len(u.tokens) < u.call.Limit && !u.next.After(now) {
			d := jaywind.DigestOf(u.tokens)
			u.tokens = append(u.tokens, standin.Next(u.call.Version, u.call.Seed, u.call.Prompt, e.salt, d))
			u.next = u.next.Add(e.gap)
			if u.next.Before(now) {
				u.next = now.Add(e.gap)
			}
			if e.wait != nil {
				u.next = u.next.Add(e.wait())
			}
		}
	}
}

// mix puts the tokens of another run of the same request in the place of a run's own.
func (e *engine) mix(u *run) {
	n := len(u.tokens)
	u.tokens = nil
	for range n {
		d := jaywind.DigestOf(u.tokens)
		u.tokens = append(u.tokens, standin.Next(u.call.Version, u.call.Seed+1, u.call.Prompt, e.salt, d))
	}
}

// send delivers what a stream has to say; the end comes one step after the last token.
func (w *world) send(c *conn) {
	if c.ended || c.mute || c.run.stuck || c.run.unsent || c.engine.dead || w.now.Before(c.engine.muteTill) {
		return
	}
	if c.sent == len(c.run.tokens) && c.sent == c.call.Limit {
		c.ended = true
		w.emit(c, jaywind.Frame{Position: jaywind.Position(c.sent), End: true, Digest: jaywind.DigestOf(c.run.tokens)})
		return
	}
	for c.sent < len(c.run.tokens) {
		at := c.sent
		c.sent++
		w.emit(c, jaywind.Frame{Position: jaywind.Position(at), Token: c.run.tokens[at]})
	}
}

func (w *world) emit(c *conn, f jaywind.Frame) {
	f.Request, f.Attempt = c.call.Request, c.call.Attempt
	frames := []jaywind.Frame{f}
	if c.tamper != nil {
		frames = c.tamper(f)
		c.tamper = nil
	}
	for _, f := range frames {
		w.post(c.router, 0, table.Framed{Request: c.call.Request, Attempt: c.call.Attempt, Frame: f})
	}
}

func (w *world) execute(router int, c table.Command) {
	switch c := c.(type) {
	case table.Open:
		w.opens++
		w.open(router, c)
	case table.Cancel:
		e := w.engines[jaywind.EndpointID(c.At)]
		if u := e.runs[work(c.Request, c.Run)]; u != nil && !c.KeepWork && !e.dead && !w.now.Before(e.muteTill) && u.call.Attempt <= c.Attempt {
			delete(e.runs, work(c.Request, c.Run))
		}
	case table.Probe:
		w.probe(router, c)
	case table.Keep:
		w.post(router, 0, table.Kept{Peer: c.Peer, Gaps: w.keepers[c.Peer].Keep(c.Records)})
	case table.RecallRecord:
		w.post(router, 0, w.recall(c))
	case table.Join:
		w.routers[router].joined[c.Request] = c.Listener
	case table.Deliver:
		w.callers[c.Mark.Request].take(w, router, c)
	case table.Finish:
		if a := w.callers[c.Request]; a.router == router && c.Outcome != table.OutcomeGone {
			a.finals = append(a.finals, c)
		}
	}
}

func work(id jaywind.RequestID, run jaywind.Attempt) jaywind.Work {
	return jaywind.Work{Request: id, Run: run}
}

func (w *world) open(router int, c table.Open) {
	e := w.engines[c.Endpoint]
	lose := func(err error) {
		w.post(router, 0, table.Lost{Request: c.Call.Request, Attempt: c.Call.Attempt, Err: err})
	}
	u := e.runs[c.Call.Work()]
	switch {
	case e.dead:
		lose(jaywind.ErrNotSent)
		return
	case e.refuse:
		lose(jaywind.ErrBusy)
		return
	case c.Call.Resume && (u == nil || e.noResume):
		lose(jaywind.ErrNoStream)
		return
	case !c.Call.Resume:
		u = &run{call: c.Call, tokens: slices.Clone(c.Call.Prefix), next: w.now.Add(w.prefill)}
		e.runs[c.Call.Work()] = u
	}
	u.call.Attempt = max(u.call.Attempt, c.Call.Attempt)
	w.conns = append(w.conns, &conn{router: router, engine: e, run: u, call: c.Call, sent: int(c.Call.From)})
}

func (w *world) probe(router int, c table.Probe) {
	w.probes++
	e := w.engines[jaywind.EndpointID(c.At)]
	answer := table.Probed{Request: c.Request, Attempt: c.Attempt}
	u := e.runs[work(c.Request, c.Run)]
	after := time.Duration(0)
	switch {
	case e.dead:
		answer.Err = errReset
	case w.now.Before(e.muteTill) || e.deaf > 0:
		e.deaf--
		answer.Err = errTimeout
		after = c.Limit
	case u == nil:
		answer.Err = jaywind.ErrNoStream
	default:
		answer.Progress = jaywind.Progress{Position: jaywind.Position(len(u.tokens)), Done: len(u.tokens) == u.call.Limit}
	}
	w.post(router, after, answer)
}

// take checks a token against what its engine makes after exactly the tokens before it.
func (c *caller) take(w *world, router int, d table.Deliver) {
	w.t.Helper()
	if router != c.router || c.away || w.routers[router].joined[d.Mark.Request] != c.listener {
		return
	}
	m := d.Mark
	before := jaywind.DigestOf(c.tokens)
	if int(m.Position) != len(c.tokens)+1 || m.Digest != before.Add(d.Token) {
		w.t.Fatalf("token at position %d with %d read", m.Position, len(c.tokens))
	}
	if !w.made(m, before, d) {
		w.t.Fatalf("token at position %d is of another generation", m.Position)
	}
	if c.mark.Version != "" && (m.Version != c.mark.Version || m.Seed != c.mark.Seed) {
		w.t.Fatalf("version or seed changed at position %d", m.Position)
	}
	c.longest = max(c.longest, w.now.Sub(c.last))
	c.last = w.now
	c.tokens = append(c.tokens, d.Token)
	c.mark = m
}

// made tells whether some engine makes the token; a repeated one bears the present endpoint's name.
func (w *world) made(m jaywind.Bookmark, before jaywind.Digest, d table.Deliver) bool {
	for id, e := range w.engines {
		if (d.Again || id == m.Endpoint) && standin.Next(m.Version, m.Seed, prompt, e.salt, before) == d.Token {
			return true
		}
	}
	return false
}

// current returns the newest stream of r1.
func (w *world) current() *conn {
	for _, c := range slices.Backward(w.conns) {
		if c.call.Request == "r1" {
			return c
		}
	}
	return nil
}

// cut resets the connections of an engine, or one of them.
func (w *world) cut(e *engine, only *conn) {
	for _, c := range w.conns {
		if c.engine == e && (only == nil || c == only) && !c.ended {
			c.ended = true
			w.post(c.router, 0, table.Lost{Request: c.call.Request, Attempt: c.call.Attempt, Err: errReset})
		}
	}
}
