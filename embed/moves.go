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
	leaderCandidates     = 3                      // routers that compete for the leader lease
	reportTimeout        = 500 * time.Millisecond // for delivering a report to one router
	maxConcurrentReports = 16                     // for one report
)

// moves sends and receives reports on moves, stores how moves ended and, on the leader, applies the desired states.
type moves struct {
	router    *Router
	records   leader.Records
	leader    *leader.Leader
	decisions sync.Map // jaywind.Model to decision
}

func newMoves(r *Router) *moves {
	p := &moves{router: r}
	if r.Store == nil {
		return p
	}
	p.records = leader.Records{Store: r.Store}
	p.leader = &leader.Leader{
		Self:          r.Self,
		Store:         r.Store,
		Engine:        r.Engine,
		Weights:       r.Weights,
		Clock:         r.Clock,
		Log:           r.Log,
		Eligible:      p.eligible,
		OnLoadTimeout: func(e table.LoadTimedOut) { r.post(e) },
	}
	return p
}

// eligible reports whether this router may compete for the leader lease.
//
// The number of routers that ask for the lease stays constant as the fleet grows.
func (p *moves) eligible() bool {
	for _, m := range rendezvous.Pick("leader", p.router.Members(), leaderCandidates, "") {
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

// execute is called by the loop, so sendReport may add gossip notes to the core's state.
func (p *moves) execute(ctx context.Context, c table.Command) bool {
	switch c := c.(type) {
	case table.SendReport:
		p.sendReport(c)
	case table.PublishDecision:
		p.publishDecision(c.Report)
	case table.ReadMoveRecord:
		p.router.group.Go(func() { p.readRecord(ctx, c) })
	case table.WriteMoveRecord:
		p.router.group.Go(func() { p.writeRecord(ctx, c) })
	case table.SetDesiredStates:
		if p.leader != nil {
			p.leader.SetDesiredStates(c.States)
		}
	default:
		return false
	}
	return true
}

// publishDecision stores the decision that reports on the move are answered with.
func (p *moves) publishDecision(r table.Report) {
	n, err := move.EncodeDecision(r)
	if err != nil {
		p.router.Log.Error("moves: failed to encode a decision", zap.Error(err))
		return
	}
	p.decisions.Store(r.Move.Model, decision{r.Move, n})
}

// sendReport delivers a report to its recipients. It also gossips the end of a move.
// Without a Reporter, all reports are sent by gossip only.
func (p *moves) sendReport(c table.SendReport) {
	r := c.Report
	if r.State != table.MoveRunning {
		p.router.Log.Info("moves: move ended", zap.String("model", string(r.Move.Model)),
			zap.String("version", string(r.Move.To)), zap.String("state", string(r.State)), zap.String("reason", r.Reason))
	}
	n, err := move.EncodeReport(r)
	if err != nil {
		p.router.Log.Error("moves: failed to encode a report", zap.Error(err))
		return
	}
	if r.State != table.MoveRunning {
		p.decisions.Store(r.Move.Model, decision{r.Move, n})
	}
	if r.State != table.MoveRunning || p.router.Reporter == nil {
		p.router.core.State.Fleet.Broadcast(n)
	}
	if p.router.Reporter == nil || r.State != table.MoveRunning && len(c.To) == 0 {
		p.router.group.Go(func() { p.reportUndelivered(r) })
		return
	}
	members := p.peers(c.To)
	p.router.group.Go(func() { p.deliverAll(members, r, n) })
}

// reportUndelivered tells the core that a report to a collector was not delivered. Other reports are ignored.
func (p *moves) reportUndelivered(r table.Report) {
	if r.Kind == table.ReportToCollector {
		p.router.post(table.ReportUndelivered{Move: r.Move, Collector: r.To})
	}
}

// peers returns the other members with these names that have an address, or all of them if names is empty.
func (p *moves) peers(names []jaywind.VM) []jaywind.Member {
	members := slices.Clone(p.router.Members())
	return slices.DeleteFunc(members, func(m jaywind.Member) bool {
		return m.VM == p.router.Self || m.Fleet == "" || len(names) > 0 && !slices.Contains(names, m.VM)
	})
}

// deliverAll delivers a report to members. There are no retries: the next report has the totals again.
func (p *moves) deliverAll(members []jaywind.Member, r table.Report, n jaywind.Note) {
	if len(members) == 0 {
		p.reportUndelivered(r)
		return
	}
	calls := pool.New().WithMaxGoroutines(maxConcurrentReports)
	for _, m := range members {
		calls.Go(func() { p.deliver(m, r, n) })
	}
	calls.Wait()
}

// deliver delivers a report to one member and posts the decision in its answer.
func (p *moves) deliver(m jaywind.Member, r table.Report, n jaywind.Note) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	n.Key = "" // used only by gossip
	answer, err := p.router.Reporter.Report(ctx, m.Fleet, n)
	if err != nil {
		p.router.Log.Debug("moves: failed to deliver a report", zap.String("to", string(m.VM)), zap.Error(err))
		p.reportUndelivered(r)
		return
	}
	if answer.Kind == "" {
		return
	}
	report, err := move.DecodeAnswer(answer, r.Move, m.VM)
	if err != nil {
		p.router.Log.Warn("moves: failed to decode the answer to a report", zap.String("from", string(m.VM)), zap.Error(err))
		return
	}
	p.router.post(table.ReportReceived{Report: report})
}

// HandleReport handles a report of another router and returns the answer. Its errors wrap move.ErrNote, or are ErrStopped.
func (r *Router) HandleReport(n jaywind.Note) (jaywind.Note, error) {
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
	return r.moves.decisionOn(report.Move), nil
}

// decision is the encoded answer to reports on a move.
type decision struct {
	move table.MoveID
	note jaywind.Note
}

// decisionOn returns the latest decision on a move; it is empty if there is none.
func (p *moves) decisionOn(id table.MoveID) jaywind.Note {
	a, known := p.decisions.Load(id.Model)
	if !known || a.(decision).move != id {
		return jaywind.Note{}
	}
	return a.(decision).note
}

// readRecord reads how a move ended from the store. Without a store, the move is still running.
func (p *moves) readRecord(ctx context.Context, c table.ReadMoveRecord) {
	if p.records.Store == nil {
		p.router.post(table.MoveRecorded{Move: c.Move, State: table.MoveRunning})
		return
	}
	recorded, err := p.records.Read(ctx, c.Move)
	if err != nil {
		p.router.Log.Warn("moves: failed to read the record of a move", zap.Error(err))
		return
	}
	p.router.post(recorded)
}

// writeRecord writes how a move ended, unless the store has another end for it already, and posts the recorded one.
//
// Without a store, it posts c as recorded.
func (p *moves) writeRecord(ctx context.Context, c table.WriteMoveRecord) {
	if p.records.Store == nil {
		p.router.post(table.MoveRecorded(c))
		return
	}
	recorded, err := p.records.Write(ctx, c)
	if err != nil {
		p.router.Log.Warn("moves: failed to record the end of a move", zap.Error(err))
		return
	}
	p.router.post(recorded)
}
