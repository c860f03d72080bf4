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
	tick             = 5 * time.Millisecond   // virtual time of one tick
	fullTickEvery    = 4                      // ticks
	tokenGap         = 20 * time.Millisecond  // of an engine
	prefill          = 200 * time.Millisecond // time to the first token of an engine
	answerTokens     = 40
	longAnswerTokens = 10 * answerTokens
	prompt           = "fins"
)

var (
	errReset   = errors.New("connection reset")
	errTimeout = errors.New("no answer")
)

// simulation runs router cores against simulated engines and callers in virtual time.
type simulation struct {
	t             testing.TB
	now           time.Time
	probes        int // sent by all routers
	ticks         int
	routers       []*router
	engines       map[jaywind.EndpointID]*engine
	conns         []*conn
	callers       map[jaywind.RequestID]*caller
	opens         int
	limit         int // tokens of an answer
	prefill       time.Duration
	otherPriority jaywind.Priority             // of all callers but r1's
	peers         map[jaywind.VM]*journal.Book // that hold the records of requests
}

type router struct {
	lost        bool // runs no more
	pausedUntil time.Time
	joined      map[jaywind.RequestID]table.Listener // connections to which answers go
	core        step.Core
	pending     []pending
}

type pending struct {
	at    time.Time
	event table.Event
}

// engine generates tokens that depend on its salt; engines with equal salts generate the same tokens.
type engine struct {
	id           jaywind.EndpointID
	salt         uint64
	gap          time.Duration
	extraGap     func() time.Duration // drawn for each token and added to gap; may be nil
	dead         bool                 // refuses connections
	muteUntil    time.Time            // until then it accepts connections but sends nothing
	busy         bool                 // refuses calls
	refuseResume bool
	probesToDrop int // next probes that get no answer
	runs         map[jaywind.Work]*run
}

type run struct {
	call   jaywind.Call
	tokens []jaywind.Token
	next   time.Time
	stuck  bool // generates and sends nothing more while the engine's other runs go on
	unsent bool // sends nothing more on any connection, but goes on generating
}

// conn is one stream. Frames may still arrive after the router has closed it.
type conn struct {
	router int
	engine *engine
	run    *run
	call   jaywind.Call
	sent   int
	ended  bool
	mute   bool
	tamper func(jaywind.Frame) []jaywind.Frame // replaces the next frame
}

// caller reads one answer and checks each token.
type caller struct {
	router       int
	listener     table.Listener
	tokens       []jaywind.Token
	mark         jaywind.Bookmark
	finishes     []table.FinishRequest
	last         time.Time     // of the last token
	longest      time.Duration // gap between tokens
	disconnected bool
}

func newSimulation(t testing.TB, routers int) *simulation {
	sim := &simulation{t: t, now: time.Unix(1000, 0), engines: map[jaywind.EndpointID]*engine{}, callers: map[jaywind.RequestID]*caller{}, limit: answerTokens, prefill: prefill}
	for i, id := range []jaywind.EndpointID{"e1", "e2", "e3"} {
		sim.engines[id] = &engine{id: id, salt: uint64(i), gap: tokenGap, runs: map[jaywind.Work]*run{}}
	}
	for i := range routers {
		state := table.New(7)
		state.Self = jaywind.VM(fmt.Sprint("vm", i))
		state.Domain = "a"
		state.Fleet.Self = jaywind.Member{VM: state.Self, Domain: "a"}
		sim.routers = append(sim.routers, &router{core: step.Core{State: state}, joined: map[jaywind.RequestID]table.Listener{}})
	}
	sim.peers = map[jaywind.VM]*journal.Book{"vm7": {}, "vm8": {}, "vm9": {}}
	sim.applyRules(1, "e1", "e2", "e3")
	return sim
}

// applyRules sends all routers rules with these replicas.
func (sim *simulation) applyRules(version jaywind.RulesVersion, ids ...jaywind.EndpointID) {
	set := rule.NewSet()
	set.Models["heat"] = rule.Model{Name: "heat", Version: "v1"}
	for _, id := range ids {
		set.Endpoints[id] = rule.Endpoint{ID: id, Kind: rule.KindEngine, Model: "heat", Version: "v1", URL: jaywind.Address(id)}
	}
	for i := range sim.routers {
		sim.post(i, 0, table.RulesReceived{Version: version, Set: set})
	}
}

func (sim *simulation) post(router int, after time.Duration, e table.Event) {
	r := sim.routers[router]
	r.pending = append(r.pending, pending{sim.now.Add(after), e})
}

// connect connects a caller to a router. A caller that has read tokens sends its bookmark, and also the
// tokens if prefix is set.
func (sim *simulation) connect(id jaywind.RequestID, router int, prefix bool) {
	c := sim.callers[id]
	if c == nil {
		c = &caller{last: sim.now}
		sim.callers[id] = c
	}
	c.router = router
	c.listener++
	c.disconnected = false
	a := table.GenerationRequest{ID: id, Retry: c.listener > 1, Model: "heat", Prompt: prompt, MaxTokens: sim.limit, Seed: 3, Listener: c.listener}
	if id != "r1" {
		a.MaxTokens = max(a.MaxTokens, longAnswerTokens)
		a.Priority = sim.otherPriority
	}
	if len(c.tokens) > 0 {
		mark := c.mark
		a.Bookmark = &mark
	}
	if prefix {
		a.Prefix = slices.Clone(c.tokens)
	}
	sim.post(router, 0, table.RequestArrived{Request: a})
}

func (sim *simulation) disconnectR1() { sim.disconnect("r1") }

func (sim *simulation) disconnect(id jaywind.RequestID) {
	c := sim.callers[id]
	c.disconnected = true
	sim.post(c.router, 0, table.CallerGone{Request: id, Listener: c.listener})
}

// addOtherCallers connects other callers to the router of a stream. There are enough for some of their
// long answers to come from the same engine.
func (sim *simulation) addOtherCallers(c *conn) {
	for i := range 2 * len(sim.engines) {
		id := jaywind.RequestID(fmt.Sprint("other", c.router, i))
		if sim.callers[id] == nil {
			sim.connect(id, c.router, false)
		}
	}
}

// disconnectOthers disconnects the callers that addOtherCallers connected.
func (sim *simulation) disconnectOthers() {
	for _, id := range slices.Sorted(maps.Keys(sim.callers)) {
		if strings.HasPrefix(string(id), "other") {
			sim.disconnect(id)
		}
	}
}

func (sim *simulation) tick() {
	sim.now = sim.now.Add(tick)
	sim.ticks++
	for _, id := range slices.Sorted(maps.Keys(sim.engines)) {
		sim.engines[id].generateTokens(sim.now)
	}
	for _, c := range slices.Clone(sim.conns) {
		sim.sendPending(c)
	}
	for i, r := range sim.routers {
		if r.lost || sim.now.Before(r.pausedUntil) {
			continue
		}
		if len(r.core.State.Fleet.Members) != len(sim.peers) || sim.ticks%200 == 0 {
			sim.refreshMembers(r.core.State)
		}
		var due []table.Event
		r.pending = slices.DeleteFunc(r.pending, func(p pending) bool {
			if p.at.After(sim.now) {
				return false
			}
			due = append(due, p.event)
			return true
		})
		for _, c := range r.core.Step(sim.now, sim.ticks%fullTickEvery == 0, due) {
			sim.execute(i, c)
		}
	}
}

func (sim *simulation) run(span time.Duration) {
	for end := sim.now.Add(span); sim.now.Before(end); {
		sim.tick()
	}
}

// refreshMembers keeps the peers alive in a router's view of the fleet.
func (sim *simulation) refreshMembers(s *table.State) {
	s.Fleet.Members = map[jaywind.VM]*table.Member{}
	for i, vm := range slices.Sorted(maps.Keys(sim.peers)) {
		m := jaywind.Member{VM: vm, Domain: jaywind.Domain(fmt.Sprint("d", i)), Fleet: jaywind.Address(vm)}
		s.Fleet.Members[vm] = &table.Member{Member: m, Since: sim.now}
	}
}

// recall returns the longest record that one of the peers holds.
func (sim *simulation) recall(c table.RecallRecord) table.RecordRecalled {
	best := table.RecordRecalled{Request: c.Request, Err: jaywind.ErrKeyNotFound}
	for _, m := range c.Peers {
		if sim.peers[m.VM] == nil {
			continue
		}
		if r, err := sim.peers[m.VM].Recall(c.Request); err == nil && (best.Err != nil || r.Bookmark.Position > best.Record.Bookmark.Position) {
			best.Record, best.Err = r, nil
		}
	}
	return best
}

// idle reports whether no running router has a request.
func (sim *simulation) idle() bool {
	return !slices.ContainsFunc(sim.routers, func(r *router) bool { return !r.lost && len(r.core.State.Requests) > 0 })
}

// generateTokens generates the tokens that are due.
func (e *engine) generateTokens(now time.Time) {
	if e.dead || now.Before(e.muteUntil) {
		return
	}
	for _, u := range e.runs {
		for !u.stuck && len(u.tokens) < u.call.MaxTokens && !u.next.After(now) {
			d := jaywind.DigestOf(u.tokens)
			u.tokens = append(u.tokens, standin.Next(u.call.Version, u.call.Seed, u.call.Prompt, e.salt, d))
			u.next = u.next.Add(e.gap)
			if u.next.Before(now) {
				u.next = now.Add(e.gap)
			}
			if e.extraGap != nil {
				u.next = u.next.Add(e.extraGap())
			}
		}
	}
}

// replaceTokens replaces a run's tokens by those of another generation of the same request.
func (e *engine) replaceTokens(u *run) {
	n := len(u.tokens)
	u.tokens = nil
	for range n {
		d := jaywind.DigestOf(u.tokens)
		u.tokens = append(u.tokens, standin.Next(u.call.Version, u.call.Seed+1, u.call.Prompt, e.salt, d))
	}
}

// sendPending sends the frames of a stream that are due; the end frame follows one tick after the last token.
func (sim *simulation) sendPending(c *conn) {
	if c.ended || c.mute || c.run.stuck || c.run.unsent || c.engine.dead || sim.now.Before(c.engine.muteUntil) {
		return
	}
	if c.sent == len(c.run.tokens) && c.sent == c.call.MaxTokens {
		c.ended = true
		sim.sendFrame(c, jaywind.Frame{Position: jaywind.Position(c.sent), End: true, Digest: jaywind.DigestOf(c.run.tokens)})
		return
	}
	for c.sent < len(c.run.tokens) {
		at := c.sent
		c.sent++
		sim.sendFrame(c, jaywind.Frame{Position: jaywind.Position(at), Token: c.run.tokens[at]})
	}
}

func (sim *simulation) sendFrame(c *conn, f jaywind.Frame) {
	f.Request, f.Attempt = c.call.Request, c.call.Attempt
	frames := []jaywind.Frame{f}
	if c.tamper != nil {
		frames = c.tamper(f)
		c.tamper = nil
	}
	for _, f := range frames {
		sim.post(c.router, 0, table.FrameReceived{Request: c.call.Request, Attempt: c.call.Attempt, Frame: f})
	}
}

func (sim *simulation) execute(router int, c table.Command) {
	switch c := c.(type) {
	case table.OpenStream:
		sim.opens++
		sim.open(router, c)
	case table.CancelAttempt:
		e := sim.engines[jaywind.EndpointID(c.Address)]
		if u := e.runs[workOf(c.Request, c.Run)]; u != nil && !c.KeepWork && !e.dead && !sim.now.Before(e.muteUntil) && u.call.Attempt <= c.Attempt {
			delete(e.runs, workOf(c.Request, c.Run))
		}
	case table.ProbeProgress:
		sim.probe(router, c)
	case table.KeepRecords:
		sim.post(router, 0, table.RecordsKept{Peer: c.Peer, Missing: sim.peers[c.Peer].Keep(c.Records)})
	case table.RecallRecord:
		sim.post(router, 0, sim.recall(c))
	case table.AttachListener:
		sim.routers[router].joined[c.Request] = c.Listener
	case table.DeliverToken:
		sim.callers[c.Bookmark.Request].checkToken(sim, router, c)
	case table.FinishRequest:
		if a := sim.callers[c.Request]; a.router == router && c.Outcome != table.OutcomeCallerGone {
			a.finishes = append(a.finishes, c)
		}
	}
}

func workOf(id jaywind.RequestID, run jaywind.Attempt) jaywind.Work {
	return jaywind.Work{Request: id, Run: run}
}

func (sim *simulation) open(router int, c table.OpenStream) {
	e := sim.engines[c.Endpoint]
	lose := func(err error) {
		sim.post(router, 0, table.StreamLost{Request: c.Call.Request, Attempt: c.Call.Attempt, Err: err})
	}
	u := e.runs[c.Call.Work()]
	switch {
	case e.dead:
		lose(jaywind.ErrNotSent)
		return
	case e.busy:
		lose(jaywind.ErrBusy)
		return
	case c.Call.Resume && (u == nil || e.refuseResume):
		lose(jaywind.ErrNoStream)
		return
	case !c.Call.Resume:
		u = &run{call: c.Call, tokens: slices.Clone(c.Call.Prefix), next: sim.now.Add(sim.prefill)}
		e.runs[c.Call.Work()] = u
	}
	u.call.Attempt = max(u.call.Attempt, c.Call.Attempt)
	sim.conns = append(sim.conns, &conn{router: router, engine: e, run: u, call: c.Call, sent: int(c.Call.Position)})
}

func (sim *simulation) probe(router int, c table.ProbeProgress) {
	sim.probes++
	e := sim.engines[jaywind.EndpointID(c.Address)]
	answer := table.ProbeAnswered{Request: c.Request, Attempt: c.Attempt}
	u := e.runs[workOf(c.Request, c.Run)]
	after := time.Duration(0)
	switch {
	case e.dead:
		answer.Err = errReset
	case sim.now.Before(e.muteUntil) || e.probesToDrop > 0:
		e.probesToDrop--
		answer.Err = errTimeout
		after = c.Limit
	case u == nil:
		answer.Err = jaywind.ErrNoStream
	default:
		answer.Progress = jaywind.Progress{Position: jaywind.Position(len(u.tokens)), Done: len(u.tokens) == u.call.MaxTokens}
	}
	sim.post(router, after, answer)
}

// checkToken checks that a token is the one that its engine generates after exactly the tokens read so far.
func (c *caller) checkToken(sim *simulation, router int, d table.DeliverToken) {
	sim.t.Helper()
	if router != c.router || c.disconnected || sim.routers[router].joined[d.Bookmark.Request] != c.listener {
		return
	}
	m := d.Bookmark
	before := jaywind.DigestOf(c.tokens)
	if int(m.Position) != len(c.tokens)+1 || m.Digest != before.Add(d.Token) {
		sim.t.Fatalf("token at position %d with %d read", m.Position, len(c.tokens))
	}
	if !sim.generatedBySomeEngine(m, before, d) {
		sim.t.Fatalf("token at position %d is of another generation", m.Position)
	}
	if c.mark.Version != "" && (m.Version != c.mark.Version || m.Seed != c.mark.Seed) {
		sim.t.Fatalf("version or seed changed at position %d", m.Position)
	}
	c.longest = max(c.longest, sim.now.Sub(c.last))
	c.last = sim.now
	c.tokens = append(c.tokens, d.Token)
	c.mark = m
}

// generatedBySomeEngine reports whether the token's engine generates it. The bookmark of a replayed token
// names the current endpoint, so it may come from any engine.
func (sim *simulation) generatedBySomeEngine(m jaywind.Bookmark, before jaywind.Digest, d table.DeliverToken) bool {
	for id, e := range sim.engines {
		if (d.Replayed || id == m.Endpoint) && standin.Next(m.Version, m.Seed, prompt, e.salt, before) == d.Token {
			return true
		}
	}
	return false
}

// current returns the newest stream of r1.
func (sim *simulation) current() *conn {
	for _, c := range slices.Backward(sim.conns) {
		if c.call.Request == "r1" {
			return c
		}
	}
	return nil
}

// resetConnections resets all connections of an engine, or only the given one.
func (sim *simulation) resetConnections(e *engine, only *conn) {
	for _, c := range sim.conns {
		if c.engine == e && (only == nil || c == only) && !c.ended {
			c.ended = true
			sim.post(c.router, 0, table.StreamLost{Request: c.call.Request, Attempt: c.call.Attempt, Err: errReset})
		}
	}
}
