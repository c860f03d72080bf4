package embed

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc/iter"

	"jaywind"
	"jaywind/internal/core/table"
	"jaywind/internal/fleet/journal"
)

const keepTimeout = time.Second

// journalClient replicates records to peers and reads them back.
type journalClient struct {
	router *Router
}

func (p *journalClient) run(context.Context) {}

func (p *journalClient) execute(ctx context.Context, c table.Command) bool {
	switch c := c.(type) {
	case table.KeepRecords:
		p.router.group.Go(func() { p.keep(ctx, c) })
	case table.RecallRecord:
		p.router.group.Go(func() { p.recall(ctx, c) })
	default:
		return false
	}
	return true
}

func (p *journalClient) keep(ctx context.Context, c table.KeepRecords) {
	answer := table.RecordsKept{Peer: c.Peer, Err: jaywind.ErrStoreUnavailable}
	if p.router.Journal != nil {
		ctx, cancel := context.WithTimeout(ctx, keepTimeout)
		defer cancel()
		answer.Missing, answer.Err = p.router.Journal.Keep(ctx, c.Address, c.Records)
	}
	p.router.post(answer)
}

// recall reads a record from all peers in parallel and posts the newest one.
func (p *journalClient) recall(ctx context.Context, c table.RecallRecord) {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	found := iter.Map(c.Peers, func(m *jaywind.Member) table.RecordRecalled {
		record, err := p.recallFrom(ctx, *m, c.Request)
		return table.RecordRecalled{Request: c.Request, Record: record, Err: err}
	})
	best := table.RecordRecalled{Request: c.Request, Err: jaywind.ErrKeyNotFound}
	for _, f := range found {
		if f.Err == nil && (best.Err != nil || newerRecord(f.Record, best.Record)) {
			best = f
		}
	}
	p.router.post(best)
}

func (p *journalClient) recallFrom(ctx context.Context, m jaywind.Member, id jaywind.RequestID) (jaywind.Record, error) {
	if m.VM == p.router.Self {
		return p.router.records.Recall(id)
	}
	if p.router.Journal == nil {
		return jaywind.Record{}, errors.New("router has no journal")
	}
	return p.router.Journal.Recall(ctx, m.Fleet, id)
}

// newerRecord reports whether a has more tokens than b, or as many from a later attempt.
func newerRecord(a, b jaywind.Record) bool {
	if a.Bookmark.Position != b.Bookmark.Position {
		return a.Bookmark.Position > b.Bookmark.Position
	}
	return a.Bookmark.Attempt > b.Bookmark.Attempt
}

// Records returns the records that this router stores for other routers.
func (r *Router) Records() *journal.RecordStore { return &r.records }
