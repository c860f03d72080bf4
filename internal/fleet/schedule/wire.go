package schedule

import (
	"math"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"jaywind"
	"jaywind/internal/core/schedule"
)

const (
	askPath    = "/fleet/schedule/ask"
	reportPath = "/fleet/schedule/report"
)

// Limits of what is taken from a message, so that one router can't exhaust the memory of another one. Values out of range count as the
// nearest in range.
const (
	maxText     = 256       // bytes of an id, twice the longest that callers may choose
	maxExcluded = 256       // endpoints that may not run a request; a service has fewer that fail at once
	maxRuns     = 16384     // of a router at a service; the engines of the largest service process fewer
	maxSamples  = 4096      // as for the other lists of a report, one for each endpoint of a large service
	maxRows     = 4096      // of a summary
	maxTokens   = 1 << 30   // of one run, and of what an endpoint holds
	maxTotal    = 1 << 50   // tokens of a service
	maxCount    = 1 << 30   // runs, calls, events and requests
	maxPriority = 1 << 30   // priorities of routes are small numbers
	maxAge      = time.Hour // longer than any run or wait
	maxRatio    = 1000.0    // of speeds; factors are limited to 20 by the scheduler
)

// question is a schedule.Request on the wire.
type question struct {
	Service      string   `cbor:"1,keyasint"`
	From         string   `cbor:"2,keyasint"` // VM
	ID           string   `cbor:"3,keyasint"`
	Organisation string   `cbor:"4,keyasint,omitempty"`
	Resumed      bool     `cbor:"5,keyasint,omitempty"`
	Priority     int      `cbor:"6,keyasint,omitempty"`
	Age          int64    `cbor:"7,keyasint"` // microseconds since the arrival
	Target       int64    `cbor:"8,keyasint,omitempty"`
	Left         int64    `cbor:"9,keyasint"` // microseconds, as Target
	Tokens       int      `cbor:"10,keyasint"`
	Prefill      int      `cbor:"11,keyasint"`
	Events       int      `cbor:"12,keyasint"`
	Exclude      []uint64 `cbor:"13,keyasint,omitempty"`
	Hold         int64    `cbor:"14,keyasint,omitempty"` // microseconds for which the answer may wait for a grant
	First        bool     `cbor:"15,keyasint,omitempty"` // has the most urgent of several priorities
}

// outcome is a schedule.Outcome on the wire.
type outcome int

// Any other number counts as outcomeUnready.
const (
	outcomeUnready outcome = iota
	outcomeGranted
	outcomeQueued
	outcomeRefused
	outcomeTooLate
)

var outcomes = map[schedule.Outcome]outcome{
	schedule.Granted: outcomeGranted, schedule.Queued: outcomeQueued, schedule.Refused: outcomeRefused, schedule.TooLate: outcomeTooLate,
}

// answer is a schedule.Decision on the wire.
type answer struct {
	Outcome    outcome `cbor:"1,keyasint"`
	Endpoint   uint64  `cbor:"2,keyasint,omitempty"`
	Standby    uint64  `cbor:"3,keyasint,omitempty"`
	RetryAfter int64   `cbor:"4,keyasint,omitempty"` // milliseconds, as Expected and Oldest
	Ahead      int     `cbor:"5,keyasint,omitempty"`
	Expected   int64   `cbor:"6,keyasint,omitempty"`
	Bound      int     `cbor:"7,keyasint,omitempty"`
	InUse      int     `cbor:"8,keyasint,omitempty"`
	Oldest     int64   `cbor:"9,keyasint,omitempty"` // age of the oldest report that counts
}

// run is a schedule.Run on the wire.
type run struct {
	Request      string `cbor:"1,keyasint"`
	Organisation string `cbor:"2,keyasint,omitempty"`
	Endpoint     uint64 `cbor:"3,keyasint"`
	Standby      uint64 `cbor:"4,keyasint,omitempty"`
	Tokens       int    `cbor:"5,keyasint"`
	Prefill      int    `cbor:"6,keyasint,omitempty"`
	Begun        bool   `cbor:"7,keyasint,omitempty"`
	Age          int64  `cbor:"8,keyasint"` // milliseconds since the router has sent it
}

// sample is a schedule.Sample on the wire.
type sample struct {
	Address string `cbor:"1,keyasint"`
	Event   int64  `cbor:"2,keyasint,omitempty"` // microseconds, as Prefill
	Prefill int64  `cbor:"3,keyasint,omitempty"`
	Tokens  int    `cbor:"4,keyasint,omitempty"`
}

// failure is a schedule.Failure on the wire.
type failure struct {
	Endpoint uint64 `cbor:"1,keyasint"`
	Absent   bool   `cbor:"2,keyasint,omitempty"`
}

// plainSample is a schedule.PlainSample on the wire.
type plainSample struct {
	Endpoint uint64 `cbor:"1,keyasint"`
	Calls    int    `cbor:"2,keyasint,omitempty"`
	Time     int64  `cbor:"3,keyasint,omitempty"` // microseconds
	Rejected int    `cbor:"4,keyasint,omitempty"`
	Failed   int    `cbor:"5,keyasint,omitempty"`
	Open     int    `cbor:"6,keyasint,omitempty"`
}

// report is a schedule.Report on the wire.
type report struct {
	Service string        `cbor:"1,keyasint"`
	From    string        `cbor:"2,keyasint"` // VM
	Process uint64        `cbor:"3,keyasint"` // random number of the router's process
	Number  uint64        `cbor:"4,keyasint"` // of the report, counted by the process
	Runs    []run         `cbor:"5,keyasint,omitempty"`
	Samples []sample      `cbor:"6,keyasint,omitempty"`
	Plain   []plainSample `cbor:"7,keyasint,omitempty"`
	Failed  []failure     `cbor:"8,keyasint,omitempty"`
	Bare    bool          `cbor:"9,keyasint,omitempty"` // no summary is wanted
}

// reportAnswer carries the summary of an owner that is ready.
type reportAnswer struct {
	Ready   bool            `cbor:"1,keyasint,omitempty"`
	Age     int64           `cbor:"2,keyasint,omitempty"` // milliseconds since the summary was made
	Summary cbor.RawMessage `cbor:"3,keyasint,omitempty"` // encoded once for many routers
}

// row is a schedule.Row on the wire.
type row struct {
	Endpoint   uint64 `cbor:"1,keyasint"`
	Runs       int    `cbor:"2,keyasint,omitempty"`
	Held       int    `cbor:"3,keyasint,omitempty"`
	Prefill    int    `cbor:"4,keyasint,omitempty"`
	Factor     int64  `cbor:"5,keyasint"` // thousandths
	Open       int    `cbor:"6,keyasint,omitempty"`
	Mean       int64  `cbor:"7,keyasint,omitempty"` // microseconds
	Rejections int64  `cbor:"8,keyasint,omitempty"` // thousandths
}

// summary is a schedule.Summary on the wire.
type summary struct {
	Rows    []row `cbor:"1,keyasint,omitempty"`
	Bound   int   `cbor:"2,keyasint,omitempty"`
	InUse   int   `cbor:"3,keyasint,omitempty"`
	Waiting int   `cbor:"4,keyasint,omitempty"`
	Spread  int64 `cbor:"5,keyasint"`           // thousandths
	Event   int64 `cbor:"6,keyasint,omitempty"` // nanoseconds, as Prompt
	Prompt  int64 `cbor:"7,keyasint,omitempty"`
}

func encodeQuestion(s jaywind.ServiceName, r *schedule.Request, hold time.Duration, now time.Time) *question {
	return &question{
		Service: string(s), From: string(r.Router), ID: string(r.ID), Organisation: string(r.Organisation), Resumed: r.Resumed, Priority: r.Priority, First: r.First,
		Age: now.Sub(r.Arrived).Microseconds(), Target: r.Target.Microseconds(), Left: r.Left.Microseconds(),
		Tokens: r.Tokens, Prefill: r.Prefill, Events: r.Events, Exclude: encodeKeys(r.Exclude), Hold: hold.Microseconds(),
	}
}

func (q *question) decode(now time.Time) schedule.Request {
	return schedule.Request{
		ID: jaywind.RequestID(text(q.ID)), Router: jaywind.VM(text(q.From)), Organisation: jaywind.Organisation(text(q.Organisation)),
		Resumed: q.Resumed, Priority: limited(q.Priority, maxPriority), First: q.First,
		Arrived: now.Add(-duration(q.Age, time.Microsecond)), Target: duration(q.Target, time.Microsecond), Left: duration(q.Left, time.Microsecond),
		Tokens: limited(q.Tokens, maxTokens), Prefill: limited(q.Prefill, maxTokens), Events: limited(q.Events, maxCount),
		Exclude: decodeKeys(first(q.Exclude, maxExcluded)),
	}
}

func encodeAnswer(r reply) *answer {
	if !r.ready {
		return &answer{Outcome: outcomeUnready}
	}
	d := r.decision
	return &answer{
		Outcome: outcomes[d.Outcome], Endpoint: uint64(d.Endpoint), Standby: uint64(d.Standby), RetryAfter: d.RetryAfter.Milliseconds(),
		Ahead: d.Ahead, Expected: d.Expected.Milliseconds(), Bound: d.Bound, InUse: d.InUse, Oldest: r.oldest.Milliseconds(),
	}
}

func (a *answer) decode() reply {
	d := schedule.Decision{
		Endpoint: schedule.Key(a.Endpoint), Standby: schedule.Key(a.Standby), RetryAfter: duration(a.RetryAfter, time.Millisecond),
		Ahead: limited(a.Ahead, maxCount), Expected: duration(a.Expected, time.Millisecond),
		Bound: limited(a.Bound, maxTotal), InUse: limited(a.InUse, maxTotal),
	}
	for o, number := range outcomes {
		if number == a.Outcome && (o != schedule.Granted || d.Endpoint != 0) {
			d.Outcome = o
			return reply{ready: true, decision: d, oldest: duration(a.Oldest, time.Millisecond)}
		}
	}
	return reply{}
}

func encodeReport(m message, now time.Time) *report {
	w := &report{Service: string(m.service), From: string(m.from), Process: m.process, Number: m.number, Bare: m.bare}
	for _, r := range first(m.report.Runs, maxRuns) {
		w.Runs = append(w.Runs, run{
			Request: string(r.Request), Organisation: string(r.Organisation), Endpoint: uint64(r.Endpoint), Standby: uint64(r.Standby),
			Tokens: r.Tokens, Prefill: r.Prefill, Begun: r.Begun, Age: now.Sub(r.Started).Milliseconds(),
		})
	}
	for _, m := range first(m.report.Samples, maxSamples) {
		w.Samples = append(w.Samples, sample{Address: string(m.Address), Event: m.Event.Microseconds(), Prefill: m.Prefill.Microseconds(), Tokens: m.Tokens})
	}
	for _, p := range first(m.report.Plain, maxSamples) {
		w.Plain = append(w.Plain, plainSample{
			Endpoint: uint64(p.Endpoint), Calls: p.Calls, Time: p.Time.Microseconds(), Rejected: p.Rejected, Failed: p.Failed, Open: p.Open,
		})
	}
	for _, f := range first(m.report.Failed, maxSamples) {
		w.Failed = append(w.Failed, failure{Endpoint: uint64(f.Endpoint), Absent: f.Absent})
	}
	return w
}

func (w *report) decode(now time.Time) message {
	m := message{service: jaywind.ServiceName(text(w.Service)), from: jaywind.VM(text(w.From)), process: w.Process, number: w.Number, bare: w.Bare}
	for _, r := range first(w.Runs, maxRuns) {
		m.report.Runs = append(m.report.Runs, schedule.Run{
			Request: jaywind.RequestID(text(r.Request)), Organisation: jaywind.Organisation(text(r.Organisation)),
			Endpoint: schedule.Key(r.Endpoint), Standby: schedule.Key(r.Standby),
			Tokens: limited(r.Tokens, maxTokens), Prefill: limited(r.Prefill, maxTokens), Begun: r.Begun,
			Started: now.Add(-duration(r.Age, time.Millisecond)),
		})
	}
	for _, s := range first(w.Samples, maxSamples) {
		m.report.Samples = append(m.report.Samples, schedule.Sample{
			Address: jaywind.Address(text(s.Address)), Event: duration(s.Event, time.Microsecond), Prefill: duration(s.Prefill, time.Microsecond),
			Tokens: limited(s.Tokens, maxTokens),
		})
	}
	for _, p := range first(w.Plain, maxSamples) {
		m.report.Plain = append(m.report.Plain, schedule.PlainSample{
			Endpoint: schedule.Key(p.Endpoint), Calls: limited(p.Calls, maxCount), Time: duration(p.Time, time.Microsecond),
			Rejected: limited(p.Rejected, maxCount), Failed: limited(p.Failed, maxCount), Open: limited(p.Open, maxCount),
		})
	}
	for _, f := range first(w.Failed, maxSamples) {
		m.report.Failed = append(m.report.Failed, schedule.Failure{Endpoint: schedule.Key(f.Endpoint), Absent: f.Absent})
	}
	return m
}

func encodeSummary(s schedule.Summary) *summary {
	w := &summary{
		Bound: s.Bound, InUse: s.InUse, Waiting: s.Waiting, Spread: scaled(s.Spread, 1000),
		Event: scaled(s.EventMs, float64(time.Millisecond)), Prompt: scaled(s.PromptMs, float64(time.Millisecond)),
	}
	for _, r := range first(s.Rows, maxRows) {
		w.Rows = append(w.Rows, row{
			Endpoint: uint64(r.Endpoint), Runs: r.Runs, Held: r.Held, Prefill: r.Prefill, Factor: scaled(r.Factor, 1000), Open: r.Open,
			Mean: scaled(r.MeanMs, float64(time.Millisecond/time.Microsecond)), Rejections: scaled(r.Rejections, 1000),
		})
	}
	return w
}

func (w *summary) decode() schedule.Summary {
	s := schedule.Summary{
		Bound: limited(w.Bound, maxTotal), InUse: limited(w.InUse, maxTotal), Waiting: limited(w.Waiting, maxCount),
		Spread:  min(max(float64(w.Spread)/1000, 1), maxRatio),
		EventMs: milliseconds(duration(w.Event, time.Nanosecond)), PromptMs: milliseconds(duration(w.Prompt, time.Nanosecond)),
	}
	for _, r := range first(w.Rows, maxRows) {
		s.Rows = append(s.Rows, schedule.Row{
			Endpoint: schedule.Key(r.Endpoint), Runs: limited(r.Runs, maxCount), Held: limited(r.Held, maxTotal), Prefill: limited(r.Prefill, maxTotal),
			Factor: min(max(float64(r.Factor)/1000, 1/maxRatio), maxRatio), Open: limited(r.Open, maxCount),
			MeanMs: milliseconds(duration(r.Mean, time.Microsecond)), Rejections: min(max(float64(r.Rejections)/1000, 0), 1),
		})
	}
	return s
}

func encodeKeys(all []schedule.Key) (w []uint64) {
	for _, k := range first(all, maxExcluded) {
		w = append(w, uint64(k))
	}
	return w
}

func decodeKeys(w []uint64) (all []schedule.Key) {
	for _, k := range w {
		all = append(all, schedule.Key(k))
	}
	return all
}

// limited returns n, at least 0 and at most limit.
func limited(n, limit int) int { return min(max(n, 0), limit) }

// duration returns n units, at least 0 and at most maxAge.
func duration(n int64, unit time.Duration) time.Duration {
	return time.Duration(min(max(n, 0), int64(maxAge/unit))) * unit
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// scaled returns a number as a multiple of a fraction; 0 if it is none.
func scaled(n, perUnit float64) int64 {
	if math.IsNaN(n) {
		return 0
	}
	return int64(math.Round(min(max(n, 0), maxTokens) * perUnit))
}

// text returns at most maxText bytes of an id.
func text(s string) string {
	if len(s) <= maxText {
		return s
	}
	return strings.Clone(s[:maxText]) // so that the rest is not kept in memory
}

// first returns at most n elements.
func first[T any](all []T, n int) []T { return all[:min(len(all), n)] }
