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
	leaderCandidates     = 3                      // routers that try for the leader's lease
	reportTimeout        = 500 * time.Millisecond // for handing over a report
	maxConcurrentReports = 16                     // calls under way at once
)

// moves spreads reports, keeps the record of moves and steers the endpoints.
type moves struct {
	router    *Router
	records   leader.Records
	leader    *leader.Leader
	decisions sync.Map // of answers to reports: an answered by jaywind.Model
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

// execute is called by the loop, so that it may put notes into the state.
func (p *moves) execute(ctx context.Context, c table.Command) bool {
	switch c := c.(type) {
	case table.Tell:
		p.sendReport(c)
	case table.Lead:
		p.publishDecision(c.Report)
	case table.Recall:
		p.router.group.Go(func() { p.readRecord(ctx, c) })
	case table.Record:
		p.router.group.Go(func() { p.writeRecord(ctx, c) })
	case table.Steer:
		if p.leader != nil {
			p.leader.SetWants(c.Wants)
		}
	default:
		return false
	}
	return true
}

// publishDecision keeps the answer to the reports on a move.
func (p *moves) publishDecision(r table.Report) {
	n, err := move.EncodeLead(r)
	if err != nil {
		p.router.Log.Error("moves: lead not encoded", zap.Error(err))
		return
	}
	p.decisions.Store(r.Move.Model, decision{r.Move, n})
}

func (p *moves) sendReport(c table.Tell) {
	r := c.Report
	if r.State != table.MoveGoing {
		p.router.Log.Info("moves: move has ended", zap.String("model", string(r.Move.Model)),
			zap.String("version", string(r.Move.To)), zap.String("state", string(r.State)), zap.String("reason", r.Reason))
	}
	n, err := move.EncodeReport(r)
	if err != nil {
		p.router.Log.Error("moves: report not encoded", zap.Error(err))
		return
	}
	if r.State != table.MoveGoing {
		p.decisions.Store(r.Move.Model, decision{r.Move, n})
	}
	if r.State != table.MoveGoing || p.router.Reporter == nil {
		p.router.core.State.Fleet.Spread(n)
	}
	if p.router.Reporter == nil || r.State != table.MoveGoing && len(c.To) == 0 {
		p.router.group.Go(func() { p.reportUndelivered(r) })
		return
	}
	members := p.peers(c.To)
	p.router.group.Go(func() { p.deliverAll(members, r, n) })
}

// reportUndelivered says that a part has reached nobody.
func (p *moves) reportUndelivered(r table.Report) {
	if r.Kind == table.ReportPart {
		p.router.post(table.Unheard{Move: r.Move, Collector: r.To})
	}
}

// peers returns the members of these names that can be called, or all when none is peers.
func (p *moves) peers(names []jaywind.VM) []jaywind.Member {
	members := slices.Clone(p.router.Members())
	return slices.DeleteFunc(members, func(m jaywind.Member) bool {
		return m.VM == p.router.Self || m.Fleet == "" || len(names) > 0 && !slices.Contains(names, m.VM)
	})
}

// deliverAll hands a deliverAll to members; one that is not reached hears the totals with the next.
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

// deliver hands a report to one member and takes its answer.
func (p *moves) deliver(m jaywind.Member, r table.Report, n jaywind.Note) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	n.Key = "" // it serves the gossip only
	answer, err := p.router.Reporter.Report(ctx, m.Fleet, n)
	if err != nil {
		p.router.Log.Debug("moves: report not handed over", zap.String("to", string(m.VM)), zap.Error(err))
		p.reportUndelivered(r)
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
	p.router.post(table.Reported{Report: heard})
}

// TakeReport takes a report of another router and returns the answer, or an error that wraps move.ErrNote.
func (r *Router) TakeReport(n jaywind.Note) (jaywind.Note, error) {
	r.init()
	report, err := move.DecodeReport(n)
	if err != nil {
		return jaywind.Note{}, err
	}
	if !r.post(table.Reported{Report: report}) {
		return jaywind.Note{}, ErrStopped
	}
	if report.Kind != table.ReportPart {
		return jaywind.Note{}, nil
	}
	return r.moves.decisionOn(report.Move), nil
}

// decision is the answer to reports on a move.
type decision struct {
	move table.MoveID
	note jaywind.Note
}

// decisionOn returns what was published last for a move.
func (p *moves) decisionOn(id table.MoveID) jaywind.Note {
	a, known := p.decisions.Load(id.Model)
	if !known || a.(decision).move != id {
		return jaywind.Note{}
	}
	return a.(decision).note
}

// readRecord reads the record; without a store, nothing is on record.
func (p *moves) readRecord(ctx context.Context, c table.Recall) {
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

// writeRecord writes the end of a move; without a store it stands as it is.
func (p *moves) writeRecord(ctx context.Context, c table.Record) {
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
