package embed

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"jaywind"
	"jaywind/internal/core/move"
	"jaywind/internal/core/table"
	"jaywind/internal/fleet/rendezvous"
	"jaywind/internal/provider/leader"
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
	leads   sync.Map // of answers to reports: an answered by jaywind.Model
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
		Stalled:  func(e table.LoadTimedOut) { r.post(e) },
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
	case table.SendReport:
		p.tell(c)
	case table.PublishDecision:
		p.publish(c.Report)
	case table.ReadMoveRecord:
		p.router.group.Go(func() { p.recall(ctx, c) })
	case table.WriteMoveRecord:
		p.router.group.Go(func() { p.record(ctx, c) })
	case table.SetDesiredStates:
		if p.leader != nil {
			p.leader.SetWants(c.States)
		}
	default:
		return false
	}
	return true
}

// publish keeps the answer to the reports on a move.
func (p *moves) publish(r table.Report) {
	n, err := move.EncodeDecision(r)
	if err != nil {
		p.router.Log.Error("moves: lead not encoded", zap.Error(err))
		return
	}
	p.leads.Store(r.Move.Model, answered{r.Move, n})
}

func (p *moves) tell(c table.SendReport) {
	r := c.Report
	if r.State != table.MoveRunning {
		p.router.Log.Info("moves: move has ended", zap.String("model", string(r.Move.Model)),
			zap.String("version", string(r.Move.To)), zap.String("state", string(r.State)), zap.String("reason", r.Reason))
	}
	n, err := move.EncodeReport(r)
	if err != nil {
		p.router.Log.Error("moves: report not encoded", zap.Error(err))
		return
	}
	if r.State != table.MoveRunning {
		p.leads.Store(r.Move.Model, answered{r.Move, n})
	}
	if r.State != table.MoveRunning || p.router.Reporter == nil {
		p.router.core.State.Fleet.Broadcast(n)
	}
	if p.router.Reporter == nil || r.State != table.MoveRunning && len(c.To) == 0 {
		p.router.group.Go(func() { p.miss(r) })
		return
	}
	members := p.named(c.To)
	p.router.group.Go(func() { p.report(members, r, n) })
}

// miss says that a part has reached nobody.
func (p *moves) miss(r table.Report) {
	if r.Kind == table.ReportToCollector {
		p.router.post(table.ReportUndelivered{Move: r.Move, Collector: r.To})
	}
}

// named returns the members of these names that can be called, or all when none is named.
func (p *moves) named(names []jaywind.VM) []jaywind.Member {
	members := slices.Clone(p.router.Members())
	return slices.DeleteFunc(members, func(m jaywind.Member) bool {
		return m.VM == p.router.Self || m.Fleet == "" || len(names) > 0 && !slices.Contains(names, m.VM)
	})
}

// report hands a report to members; one that is not reached hears the totals with the next.
func (p *moves) report(members []jaywind.Member, r table.Report, n jaywind.Note) {
	if len(members) == 0 {
		p.miss(r)
		return
	}
	calls := pool.New().WithMaxGoroutines(reportsOut)
	for _, m := range members {
		calls.Go(func() { p.call(m, r, n) })
	}
	calls.Wait()
}

// call hands a report to one member and takes its answer.
func (p *moves) call(m jaywind.Member, r table.Report, n jaywind.Note) {
	ctx, cancel := context.WithTimeout(context.Background(), reportLimit)
	defer cancel()
	n.Key = "" // it serves the gossip only
	answer, err := p.router.Reporter.Report(ctx, m.Fleet, n)
	if err != nil {
		p.router.Log.Debug("moves: report not handed over", zap.String("to", string(m.VM)), zap.Error(err))
		p.miss(r)
		return
	}
	if answer.Kind == "" {
		return
	}
	heard, err := move.DecodeAnswer(answer, r.Move, m.VM)
	if err != nil {
		p.router.Log.Warn("moves: answer to a report not read", zap.String("from", string(m.VM)), zap.Error(err))
		return
	}
	p.router.post(table.ReportReceived{Report: heard})
}

// TakeReport takes a report of another router and returns the answer, or an error that wraps move.ErrNote.
func (r *Router) TakeReport(n jaywind.Note) (jaywind.Note, error) {
	r.init()
	report, err := move.DecodeReport(n)
	if err != nil {
		return jaywind.Note{}, err
	}
	if !r.post(table.ReportReceived{Report: report}) {
		return jaywind.Note{}, ErrStopped
	}
	if report.Kind != table.ReportToCollector {
		return jaywind.Note{}, nil
	}
	return r.moves.answer(report.Move), nil
}

// answered is the answer to reports on a move.
type answered struct {
	move table.MoveID
	note jaywind.Note
}

// answer returns what was published last for a move.
func (p *moves) answer(id table.MoveID) jaywind.Note {
	a, known := p.leads.Load(id.Model)
	if !known || a.(answered).move != id {
		return jaywind.Note{}
	}
	return a.(answered).note
}

// recall reads the record; without a store, nothing is on record.
func (p *moves) recall(ctx context.Context, c table.ReadMoveRecord) {
	if p.records.Store == nil {
		p.router.post(table.MoveRecorded{Move: c.Move, State: table.MoveRunning})
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
func (p *moves) record(ctx context.Context, c table.WriteMoveRecord) {
	if p.records.Store == nil {
		p.router.post(table.MoveRecorded(c))
		return
	}
	stands, err := p.records.Write(ctx, c)
	if err != nil {
		p.router.Log.Warn("moves: end not recorded", zap.Error(err))
		return
	}
	p.router.post(stands)
}
