package move

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/core/table"
)

// observedTick is a full tick of an observed request.
type observedTick struct {
	after  time.Duration // time since the attempt was opened
	event  table.Event
	more   table.Event            // in the same tick
	change func(r *table.Request) // applied before the tick
}

func tokenOrEnd(end bool) table.Event {
	return frameEvent(func(f *jaywind.Frame) { f.End = end })
}

// frameEvent returns an event with the first token of an answer or, with End set, the end of an answer of one token.
func frameEvent(change func(f *jaywind.Frame)) table.Event {
	f := jaywind.Frame{Request: "r1", Attempt: 1}
	change(&f)
	if f.End {
		f.Position = 1
	}
	if f.End && f.Digest == 0 {
		f.Digest = jaywind.Digest(0).Add(jaywind.Token{})
	}
	return table.FrameReceived{Request: "r1", Attempt: 1, Frame: f}
}

func TestObserveCountsOutcomes(t *testing.T) {
	second := func(r *table.Request) { r.Attempt = 2; r.Endpoint = "e8" }
	tests := map[string]struct {
		ticks     []observedTick
		good, bad uint64
	}{
		"complete answer":               {ticks: []observedTick{{event: tokenOrEnd(false)}, {event: tokenOrEnd(true)}}, good: 1},
		"connection lost":               {ticks: []observedTick{{event: tokenOrEnd(false)}, {event: table.StreamLost{Request: "r1", Attempt: 1, Err: errors.New("cut")}}}, bad: 1},
		"refused connection":            {ticks: []observedTick{{event: table.StreamLost{Request: "r1", Attempt: 1, Err: jaywind.ErrNotSent}}}, bad: 1},
		"stream no longer kept":         {ticks: []observedTick{{event: table.StreamLost{Request: "r1", Attempt: 1, Err: jaywind.ErrNoStream}}}},
		"late loss of an old attempt":   {ticks: []observedTick{{event: tokenOrEnd(false)}, {event: table.StreamLost{Request: "r1", Attempt: 0, Err: errors.New("cut")}}}},
		"caller gone":                   {ticks: []observedTick{{event: tokenOrEnd(false)}, {event: table.CallerGone{Request: "r1"}}}},
		"hangs before its first token":  {ticks: []observedTick{{}, {after: 1900 * time.Millisecond}, {after: 2 * time.Second}, {after: 9 * time.Second}}, bad: 1},
		"hangs, then ends":              {ticks: []observedTick{{event: tokenOrEnd(false)}, {after: 3 * time.Second}, {after: 4 * time.Second, event: tokenOrEnd(true)}}, bad: 1},
		"abandoned for another replica": {ticks: []observedTick{{event: tokenOrEnd(false)}, {change: second}}, bad: 1},
		"wrong digest at its end": {
			ticks: []observedTick{{event: tokenOrEnd(false)}, {event: frameEvent(func(f *jaywind.Frame) { f.End = true; f.Digest = 7 })}}, bad: 1,
		},
		"token and end in one tick": {ticks: []observedTick{{event: tokenOrEnd(false), more: tokenOrEnd(true)}}, good: 1},
		"wrong digest, more frames follow": {
			ticks: []observedTick{{event: frameEvent(func(f *jaywind.Frame) { f.Digest = 7 })}, {event: tokenOrEnd(true)}}, bad: 1,
		},
		"frame of another request": {
			ticks: []observedTick{{event: tokenOrEnd(false)}, {event: frameEvent(func(f *jaywind.Frame) { f.Request = "r2"; f.Position = 1 })}}, bad: 1,
		},
		"frame of another attempt": {
			ticks: []observedTick{{event: tokenOrEnd(false)}, {event: frameEvent(func(f *jaywind.Frame) { f.Attempt = 9; f.Position = 1 })}}, bad: 1,
		},
		"repeated frame":             {ticks: []observedTick{{event: tokenOrEnd(false)}, {event: tokenOrEnd(false)}, {event: tokenOrEnd(true)}}, good: 1},
		"resumed on the same engine": {ticks: []observedTick{{event: tokenOrEnd(false)}, {change: func(r *table.Request) { r.Attempt = 2; r.ReuseStream = true }}}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newSimulator(t)
			b.step()
			r := &table.Request{
				ID: "r1", Model: "heat", Route: "risk", Version: "v2", Attempt: 1, Endpoint: "e7",
				Phase: table.PhaseOpening, OpenedAt: b.now(),
			}
			b.state.Requests["r1"] = r
			for _, tick := range c.ticks {
				if tick.change != nil {
					tick.change(r)
				}
				var events []table.Event
				if tick.event != nil {
					events = append(events, tick.event)
				}
				if tick.more != nil {
					events = append(events, tick.more)
				}
				b.state.BeginTick(r.OpenedAt.Add(tick.after), true, events)
				Observe{}.Step(b.state)
				takeTokens(r, events)
			}
			got := b.move().Evidence.Own[table.OutcomeKey{RouteMeasure: table.RouteMeasure{Route: "risk"}, New: true}]
			is.Equal(got.Good, c.good)
			is.Equal(got.Bad, c.bad)
		})
	}
}

// takeTokens appends a tick's valid tokens to the request, as generate.EventHandler does.
func takeTokens(r *table.Request, events []table.Event) {
	for _, e := range events {
		f, ok := e.(table.FrameReceived)
		if ok && !f.Frame.End && f.Frame.Request == r.ID && f.Frame.Attempt == r.Attempt && f.Frame.Position == r.Position() && f.Frame.Digest == 0 {
			r.Tokens = append(r.Tokens, f.Frame.Token)
			r.Digest = r.Digest.Add(f.Frame.Token)
		}
	}
}

func TestReportsSum(t *testing.T) {
	key := table.OutcomeKey{RouteMeasure: table.RouteMeasure{Route: "risk"}, New: true}
	of := func(stream int64, number, good uint64) table.Report {
		return table.Report{Move: moveID(), From: "vm2", State: table.MoveRunning, Stream: stream, Number: number,
			Outcomes: map[table.OutcomeKey]table.OutcomeCounts{key: {Good: good}}}
	}
	now := start.UnixNano()
	partial := of(now-int64(time.Minute), 9, 0)
	partial.Partial = true
	partial.Outcomes = nil
	tests := map[string]struct {
		reports []table.Report
		sum     uint64
	}{
		"running totals":                    {reports: []table.Report{of(now, 1, 5), of(now, 2, 9)}, sum: 9},
		"one lost":                          {reports: []table.Report{of(now, 1, 5), of(now, 7, 30)}, sum: 30},
		"repeated":                          {reports: []table.Report{of(now, 1, 5), of(now, 1, 5)}, sum: 5},
		"late":                              {reports: []table.Report{of(now, 2, 9), of(now, 1, 5)}, sum: 9},
		"the router restarted":              {reports: []table.Report{of(now, 4, 9), of(now+1, 1, 2)}, sum: 11},
		"late report from before a restart": {reports: []table.Report{of(now+1, 1, 2), of(now, 9, 50)}, sum: 2},
		"older, a partial one first":        {reports: []table.Report{partial, of(partial.Stream, 10, 50), of(partial.Stream, 11, 53)}, sum: 3},
		"stream older than this router":     {reports: []table.Report{of(now-int64(time.Minute), 9, 50), of(now-int64(time.Minute), 10, 53)}, sum: 3},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newSimulator(t)
			b.step()
			for _, r := range c.reports {
				n, err := EncodeReport(r)
				is.NoErr(err)
				heard, err := DecodeReport(n)
				is.NoErr(err)
				addReport(b.move(), heard)
			}
			is.Equal(b.move().Evidence.Pending[key].Good, c.sum)
		})
	}
}

func TestNoteIsBounded(t *testing.T) {
	is := is.New(t)
	r := table.Report{Move: moveID(), From: "vm1", State: table.MoveRunning, Outcomes: map[table.OutcomeKey]table.OutcomeCounts{}}
	for i := range maxReportKeys {
		by := map[table.Source]uint64{}
		for j := range maxSources {
			by[table.Source("endpoint-with-a-long-name-"+string(rune('a'+j)))] = 1 << 40
		}
		key := table.OutcomeKey{RouteMeasure: table.RouteMeasure{Route: jaywind.Route("route-" + string(rune('A'+i)))}, New: i%2 == 0}
		r.Outcomes[key] = table.OutcomeCounts{Good: 1 << 40, Bad: 1 << 40, BadBySource: by}
	}
	n, err := EncodeReport(r)
	is.NoErr(err)
	is.True(len(n.Value) <= maxNoteBytes)
	_, err = DecodeReport(n)
	is.NoErr(err)
	for name, bad := range map[string]jaywind.Note{
		"another kind": {Kind: "rules", Value: n.Value},
		"cut short":    {Kind: NoteKind, Value: n.Value[:len(n.Value)/2]},
		"too long":     {Kind: NoteKind, Value: make([]byte, maxNoteBytes+1)},
	} {
		_, err := DecodeReport(bad)
		is.True(errors.Is(err, ErrNote)) // wraps ErrNote
		_ = name
	}
}
