package embed

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/move"
	"jaywind/internal/core/table"
	"jaywind/internal/fleet/rendezvous"
	"jaywind/internal/platform/leader"
)

const (
	contenders  = 3                      // routers that try for the leader's lease
	reportLimit = 500 * time.Millisecond // for handing over a report
	reportsOut  = 16                     // calls under way at once
)

// moves spreads reports, keeps the record of moves and steers the endpoints.
type moves struct {
	router  *Router
	records leader.Records
	leader  *leader.Leader
}

func newMoves(r *Router) *moves {
	p := &moves{router: r}
	if r.Store == nil {
		return p
	}
	p.records = leader.Records{Store: r.Store}
	p.leader = &leader.Leader{
		Self:     r.Self,
		Store:    r.Store,
		Engine:   r.Engine,
		Weights:  r.Weights,
		Clock:    r.Clock,
		Log:      r.Log,
		Eligible: p.eligible,
		Stalled:  func(e table.Stalled) { r.post(e) },
	}
	return p
}

// eligible keeps the number of routers that ask for the lease constant in a growing fleet.
func (p *moves) eligible() bool {
	for _, m := range rendezvous.Pick("leader", p.router.Members(), contenders, "") {
		if m.VM == p.router.Self {
			return true
		}
	}
	return false
}

func (p *moves) run(ctx context.Context) {
	if p.leader != nil {
		p.leader.Run(ctx)
	}
}

// execute is called by the loop, so that it may put notes into the state.
func (p *moves) execute(ctx context.Context, c table.Command) bool {
	switch c := c.(type) {
	case table.Tell:
		p.tell(c.Report)
	case table.Recall:
		p.router.group.Go(func() { p.recall(ctx, c) })
	case table.Record:
		p.router.group.Go(func() { p.record(ctx, c) })
	case table.Steer:
		if p.leader != nil {
			p.leader.SetWants(c.Wants)
		}
	default:
		return false
	}
	return true
}

func (p *moves) tell(r table.Report) {
	if r.State != table.MoveGoing {
		p.router.Log.Info("moves: move has ended", zap.String("model", string(r.Move.Model)),
			zap.String("version", string(r.Move.To)), zap.String("state", string(r.State)), zap.String("reason", r.Reason))
	}
	n, err := move.EncodeReport(r)
	if err != nil {
		p.router.Log.Error("moves: report not encoded", zap.Error(err))
		return
	}
	if r.State != table.MoveGoing || p.router.Reporter == nil {
		p.router.core.State.Fleet.Spread(n)
		return
	}
	members := p.router.Members()
	p.router.group.Go(func() { p.report(members, n) })
}

// report hands a report to each member; one that is not reached hears the totals with the next.
func (p *moves) report(members []jaywind.Member, n jaywind.Note) {
	calls := pool.New().WithMaxGoroutines(reportsOut)
	for _, m := range members {
		if m.VM == p.router.Self || m.Fleet == "" {
			continue
		}
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), reportLimit)
			defer cancel()
			if err := p.router.Reporter.Report(ctx, m.Fleet, n); err != nil {
				p.router.Log.Debug("moves: report not handed over", zap.String("to", string(m.VM)), zap.Error(err))
			}
		})
	}
	calls.Wait()
}

// TakeReport takes a report of another router, or returns an error that wraps move.ErrNote.
func (r *Router) TakeReport(n jaywind.Note) error {
	r.init()
	report, err := move.DecodeReport(n)
	if err != nil {
		return err
	}
	if !r.post(table.Reported{Report: report}) {
		return ErrStopped
	}
	return nil
}

// recall reads the record; without a store, nothing is on record.
func (p *moves) recall(ctx context.Context, c table.Recall) {
	if p.records.Store == nil {
		p.router.post(table.Recorded{Move: c.Move, State: table.MoveGoing})
		return
	}
	stands, err := p.records.Read(ctx, c.Move)
	if err != nil {
		p.router.Log.Warn("moves: record not read", zap.Error(err))
		return
	}
	p.router.post(stands)
}

// record writes the end of a move; without a store it stands as it is.
func (p *moves) record(ctx context.Context, c table.Record) {
	if p.records.Store == nil {
		p.router.post(table.Recorded(c))
		return
	}
	stands, err := p.records.Write(ctx, c)
	if err != nil {
		p.router.Log.Warn("moves: end not recorded", zap.Error(err))
		return
	}
	p.router.post(stands)
}
