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

const keepLimit = time.Second

// journaler carries records to the peers that keep them and back.
type journaler struct {
	router *Router
}

func (p *journaler) run(context.Context) {}

func (p *journaler) execute(ctx context.Context, c table.Command) bool {
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

func (p *journaler) keep(ctx context.Context, c table.KeepRecords) {
	answer := table.RecordsKept{Peer: c.Peer, Err: jaywind.ErrStoreUnavailable}
	if p.router.Journal != nil {
		ctx, cancel := context.WithTimeout(ctx, keepLimit)
		defer cancel()
		answer.Missing, answer.Err = p.router.Journal.Keep(ctx, c.Address, c.Records)
	}
	p.router.post(answer)
}

// recall asks all peers at once and posts the best record.
func (p *journaler) recall(ctx context.Context, c table.RecallRecord) {
	ctx, cancel := context.WithTimeout(ctx, c.Limit)
	defer cancel()
	found := iter.Map(c.Peers, func(m *jaywind.Member) table.RecordRecalled {
		record, err := p.ask(ctx, *m, c.Request)
		return table.RecordRecalled{Request: c.Request, Record: record, Err: err}
	})
	best := table.RecordRecalled{Request: c.Request, Err: jaywind.ErrKeyNotFound}
	for _, f := range found {
		if f.Err == nil && (best.Err != nil || better(f.Record, best.Record)) {
			best = f
		}
	}
	p.router.post(best)
}

func (p *journaler) ask(ctx context.Context, m jaywind.Member, id jaywind.RequestID) (jaywind.Record, error) {
	if m.VM == p.router.Self {
		return p.router.book.Recall(id)
	}
	if p.router.Journal == nil {
		return jaywind.Record{}, errors.New("no journal is set")
	}
	return p.router.Journal.Recall(ctx, m.Fleet, id)
}

// better prefers more tokens, then the newer attempt.
func better(a, b jaywind.Record) bool {
	if a.Bookmark.Position != b.Bookmark.Position {
		return a.Bookmark.Position > b.Bookmark.Position
	}
	return a.Bookmark.Attempt > b.Bookmark.Attempt
}

// Records returns the records that this router keeps for others.
func (r *Router) Records() *journal.Book { return &r.book }
