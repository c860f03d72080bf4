package embed_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/embed"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
	"jaywind/internal/provider/leader"
	"jaywind/internal/standin/store"
)

var errBroken = errors.New("the version is broken")

// farm is a set of engines in one process; those of version v2 may be broken.
type farm struct {
	mu      sync.Mutex
	version map[jaywind.Address]jaywind.Version
	loaded  map[jaywind.Address][]jaywind.Version
	broken  bool
	opened  int // attempts on v2
}

func (f *farm) Open(ctx context.Context, at jaywind.Address, c jaywind.Call) (jaywind.Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Version != "v2" {
		return &answer{ctx: ctx, call: c}, nil
	}
	f.opened++
	if !slices.Contains(f.loaded[at], c.Version) || f.broken {
		return nil, errBroken
	}
	return &answer{ctx: ctx, call: c}, nil
}

func (f *farm) Probe(context.Context, jaywind.Address, jaywind.Work) (jaywind.Progress, error) {
	return jaywind.Progress{}, jaywind.ErrNoStream
}

func (f *farm) Cancel(context.Context, jaywind.Address, jaywind.Work, jaywind.Attempt) error {
	return nil
}

func (f *farm) Load(_ context.Context, at jaywind.Address) (jaywind.Load, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return jaywind.Load{MeasuredAt: time.Now(), Version: f.version[at], Loaded: slices.Clone(f.loaded[at])}, nil
}

func (f *farm) Order(_ context.Context, at jaywind.Address, o jaywind.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loaded[at] = slices.DeleteFunc(f.loaded[at], func(v jaywind.Version) bool { return v == o.Version })
	if o.Action == jaywind.ActionLoad {
		f.loaded[at] = append(f.loaded[at], o.Version)
	}
	return nil
}

func (f *farm) starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.opened
}

func (f *farm) holds(at jaywind.Address, v jaywind.Version) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Contains(f.loaded[at], v)
}

// answer is a stream of tokens that are 10 ms apart.
type answer struct {
	ctx    context.Context
	call   jaywind.Call
	at     jaywind.Position
	digest jaywind.Digest
}

func (a *answer) Next() (jaywind.Frame, error) {
	select {
	case <-a.ctx.Done():
		return jaywind.Frame{}, io.EOF
	case <-time.After(10 * time.Millisecond):
	}
	f := jaywind.Frame{Request: a.call.Request, Attempt: a.call.Attempt, Position: a.at}
	if int(a.at) == a.call.MaxTokens {
		f.End = true
		f.Digest = a.digest
		return f, nil
	}
	f.Token = jaywind.Token{ID: jaywind.TokenID(a.at + 1), Text: string(a.call.Version)}
	a.digest = a.digest.Add(f.Token)
	a.at++
	return f, nil
}

func (a *answer) Close() error { return nil }

func engineAddress(i int) jaywind.Address { return jaywind.Address(fmt.Sprint("http://10.0.2.", i)) }

// startMove starts so many routers before three engines of each version, with a move that ends in length.
func startMove(t *testing.T, f *farm, routers int, length time.Duration) *troop {
	p := &troop{t: t, fabric: &fabric{routers: map[jaywind.Address]*embed.Router{}, cut: map[jaywind.Address]bool{}}}
	text := "model heat version=v1 # test\n"
	text += fmt.Sprintf("move heat from=v1 to=v2 by=%s # test\n", time.Now().Add(length).UTC().Format(time.RFC3339))
	f.version = map[jaywind.Address]jaywind.Version{}
	f.loaded = map[jaywind.Address][]jaywind.Version{}
	for i := range 6 {
		at := engineAddress(i)
		f.version[at] = "v1"
		if i >= 3 {
			f.version[at] = "v2"
		} else {
			f.loaded[at] = []jaywind.Version{"v1"}
		}
		text += fmt.Sprintf("endpoint e%d model=heat version=%s url=%s domain=d%d fenced=yes # test\n", i, f.version[at], at, i%3)
	}
	set, findings := rule.Parse("test", text)
	is.New(t).Equal(len(findings), 0)
	p.store = &store.Store{}
	ctx, stop := context.WithCancel(context.Background())
	for i := range routers {
		at := fleetAddress(i)
		r := &embed.Router{
			Self: jaywind.VM(fmt.Sprint("vm", i)), Domain: jaywind.Domain(fmt.Sprint("d", i%3)), Seed: uint64(i + 1), Fleet: at,
			Seeds: []jaywind.Address{fleetAddress(0)}, Gossiper: line{p.fabric, at}, Engine: f, Store: p.store, Reporter: line{p.fabric, at},
		}
		p.fabric.mu.Lock()
		p.fabric.routers[at] = r
		p.fabric.mu.Unlock()
		p.routers = append(p.routers, r)
		p.group.Go(func() { _ = r.Run(ctx) })
		r.SetRules(1, set)
	}
	t.Cleanup(func() {
		stop()
		p.group.Wait()
	})
	return p
}

// Report hands over a report of a move as package evidence does.
func (l line) Report(ctx context.Context, at jaywind.Address, n jaywind.Note) (jaywind.Note, error) {
	r, err := l.reach(ctx, at)
	if err != nil {
		return jaywind.Note{}, err
	}
	return r.TakeReport(n)
}

// ask drives 60 requests a second over all routers and returns how many answers were whole.
func (p *troop) ask(seconds int) (whole, all int) {
	var mu sync.Mutex
	for i := range seconds * 60 {
		r := p.routers[i%len(p.routers)]
		all++
		p.group.Go(func() {
			ctx := context.Background()
			a, err := r.Generate(ctx, table.GenerationRequest{ID: jaywind.RequestID(fmt.Sprint("r", time.Now().UnixNano(), ".", i)), Model: "heat", MaxTokens: 10})
			if err != nil {
				return
			}
			defer a.Close()
			for {
				e, err := a.Next(ctx)
				if err != nil {
					return
				}
				if e.Final != nil {
					mu.Lock()
					defer mu.Unlock()
					if e.Final.Outcome == table.OutcomeCompleted {
						whole++
					}
					return
				}
			}
		})
		time.Sleep(time.Second / 60)
	}
	time.Sleep(5 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	return whole, all
}

func TestMoveOfAFleet(t *testing.T) {
	const length = 150 * time.Second
	tests := map[string]struct {
		routers int
		broken  bool
		state   table.MoveState
	}{
		"good version":                   {routers: 3, state: table.MoveDone},
		"bad version":                    {routers: 3, broken: true, state: table.MoveRolledBack},
		"good version, three collectors": {routers: 12, state: table.MoveDone},
		"bad version, three collectors":  {routers: 12, broken: true, state: table.MoveRolledBack},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := &farm{broken: c.broken}
				p := startMove(t, f, c.routers, length)
				time.Sleep(2 * time.Second)
				whole, all := p.ask(145)
				is.Equal(whole, all) // every caller has its whole answer
				for _, r := range p.routers {
					s, err := r.Status(context.Background())
					is.NoErr(err)
					is.Equal(len(s.Moves), 1)
					is.Equal(s.Moves[0].State, c.state)
				}
				s, err := p.routers[0].Status(context.Background())
				is.NoErr(err)
				stands, err := leader.Records{Store: p.store}.Read(context.Background(), s.Moves[0].ID)
				is.NoErr(err)
				is.Equal(stands.State, c.state)
				is.True(!c.broken || stands.At.Sub(s.Moves[0].Started) < length/2) // a verdict, not the end of its time
				before := f.starts()
				whole, all = p.ask(40) // the end and the time after which the loser is unloaded
				is.Equal(whole, all)
				if c.broken {
					is.Equal(f.starts(), before) // nothing more starts on the bad version
				}
				is.Equal(f.holds(engineAddress(0), "v1"), c.broken)
				is.Equal(f.holds(engineAddress(3), "v2"), !c.broken)
			})
		})
	}
}
