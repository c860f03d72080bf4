package schedule

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jaywind"
	"jaywind/internal/core/schedule"
	"jaywind/internal/standin/bubble"
)

// pass returns what a router reads of a message that another one has written.
func pass[T any](t *rapid.T, w *T) *T {
	data, err := cbor.Marshal(w)
	if err != nil {
		t.Fatal(err)
	}
	out := new(T)
	if err := cbor.Unmarshal(data, out); err != nil {
		t.Fatal(err)
	}
	return out
}

func drawTime(t *rapid.T, unit time.Duration, label string) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(maxAge/unit)).Draw(t, label)) * unit
}

func drawKey(t *rapid.T, label string) schedule.Key {
	return schedule.Key(rapid.Uint64Min(1).Draw(t, label))
}

func drawCount(t *rapid.T, label string) int { return rapid.IntRange(0, maxCount).Draw(t, label) }

func drawText(t *rapid.T, label string) string { return rapid.StringN(0, 20, 80).Draw(t, label) }

// lists draws up to three elements; nil if none, as lists arrive.
func drawList[T any](t *rapid.T, one func() T) (all []T) {
	for range rapid.IntRange(0, 3).Draw(t, "length") {
		all = append(all, one())
	}
	return all
}

// TestRoundTrip guards against fields that change or get lost on the way.
func TestRoundTrip(t *testing.T) {
	now, later := time.Unix(5000, 0), time.Unix(90000, 0) // the clock of the other VM
	t.Run("question", rapid.MakeCheck(func(t *rapid.T) {
		is := is.New(t)
		age := drawTime(t, time.Microsecond, "age")
		r := schedule.Request{
			ID: jaywind.RequestID(drawText(t, "id")), Router: jaywind.VM(drawText(t, "vm")), Organisation: jaywind.Organisation(drawText(t, "organisation")),
			Resumed: rapid.Bool().Draw(t, "resumed"), Priority: rapid.IntRange(0, maxPriority).Draw(t, "priority"), Arrived: now.Add(-age),
			Target: drawTime(t, time.Microsecond, "target"), Left: drawTime(t, time.Microsecond, "left"), Tokens: drawCount(t, "tokens"),
			Prefill: drawCount(t, "prefill"), Events: drawCount(t, "events"), Exclude: drawList(t, func() schedule.Key { return drawKey(t, "exclude") }),
		}
		got := pass(t, encodeQuestion(chat, &r, maxHold, now)).decode(later)
		r.Arrived = later.Add(-age)
		is.Equal(got, r)
	}))
	t.Run("answer", rapid.MakeCheck(func(t *rapid.T) {
		is := is.New(t)
		a := reply{ready: true, oldest: drawTime(t, time.Millisecond, "oldest"), decision: schedule.Decision{
			Outcome:  rapid.SampledFrom([]schedule.Outcome{schedule.Granted, schedule.Queued, schedule.Refused, schedule.TooLate}).Draw(t, "outcome"),
			Endpoint: drawKey(t, "endpoint"), Standby: drawKey(t, "standby"), RetryAfter: drawTime(t, time.Millisecond, "retry"),
			Ahead: drawCount(t, "ahead"), Expected: drawTime(t, time.Millisecond, "expected"), Bound: drawCount(t, "bound"), InUse: drawCount(t, "use"),
		}}
		is.Equal(pass(t, encodeAnswer(a)).decode(), a)
		is.Equal(pass(t, encodeAnswer(reply{})).decode(), reply{})
	}))
	t.Run("report", rapid.MakeCheck(func(t *rapid.T) {
		is := is.New(t)
		m := message{service: chat, from: jaywind.VM(drawText(t, "vm")), process: rapid.Uint64().Draw(t, "process"), number: rapid.Uint64().Draw(t, "number")}
		m.report = schedule.Report{
			Runs: drawList(t, func() schedule.Run {
				return schedule.Run{
					Request: jaywind.RequestID(drawText(t, "id")), Organisation: jaywind.Organisation(drawText(t, "organisation")), Endpoint: drawKey(t, "endpoint"),
					Standby: drawKey(t, "standby"), Tokens: drawCount(t, "tokens"), Prefill: drawCount(t, "prefill"), Begun: rapid.Bool().Draw(t, "begun"),
					Started: now.Add(-drawTime(t, time.Millisecond, "age")),
				}
			}),
			Samples: drawList(t, func() schedule.Sample {
				return schedule.Sample{
					Address: jaywind.Address(drawText(t, "address")), Event: drawTime(t, time.Microsecond, "event"),
					Prefill: drawTime(t, time.Microsecond, "prefill"), Tokens: drawCount(t, "tokens"),
				}
			}),
			Plain: drawList(t, func() schedule.PlainSample {
				return schedule.PlainSample{
					Endpoint: drawKey(t, "endpoint"), Calls: drawCount(t, "calls"), Time: drawTime(t, time.Microsecond, "time"),
					Rejected: drawCount(t, "rejected"), Failed: drawCount(t, "failed"), Open: drawCount(t, "open"),
				}
			}),
			Failed: drawList(t, func() schedule.Failure {
				return schedule.Failure{Endpoint: drawKey(t, "endpoint"), Absent: rapid.Bool().Draw(t, "absent")}
			}),
		}
		got := pass(t, encodeReport(m, now)).decode(later)
		for i := range m.report.Runs {
			m.report.Runs[i].Started = m.report.Runs[i].Started.Add(later.Sub(now))
		}
		is.Equal(got, m)
	}))
	t.Run("summary", rapid.MakeCheck(func(t *rapid.T) {
		is := is.New(t)
		thousandths := func(low, high int64, label string) float64 {
			return float64(rapid.Int64Range(low, high).Draw(t, label)) / 1000
		}
		s := schedule.Summary{
			Bound: drawCount(t, "bound"), InUse: drawCount(t, "use"), Waiting: drawCount(t, "waiting"), Spread: thousandths(1000, 20000, "spread"),
			EventMs: thousandths(0, 1e6, "event"), PromptMs: thousandths(0, 1e6, "prompt"),
			Rows: drawList(t, func() schedule.Row {
				return schedule.Row{
					Endpoint: drawKey(t, "endpoint"), Runs: drawCount(t, "runs"), Held: drawCount(t, "held"), Prefill: drawCount(t, "prefill"),
					Factor: thousandths(50, 20000, "factor"), Open: drawCount(t, "open"), MeanMs: thousandths(0, 1e6, "mean"), Rejections: thousandths(0, 1000, "rejections"),
				}
			}),
		}
		is.Equal(pass(t, encodeSummary(s)).decode(), s)
	}))
}

// TestExtremeSummary guards against numbers of an owner that a router can't count with.
func TestExtremeSummary(t *testing.T) {
	for name, n := range map[string]float64{"nan": math.NaN(), "infinite": math.Inf(1), "negative": math.Inf(-1), "large": math.MaxFloat64} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := schedule.Summary{Spread: n, EventMs: n, PromptMs: n, Rows: []schedule.Row{{Factor: n, MeanMs: n, Rejections: n}}}
			got := encodeSummary(s).decode()
			is.True(got.Spread >= 1 && got.Spread <= maxRatio)
			is.True(got.EventMs >= 0 && got.EventMs <= milliseconds(maxAge))
			is.True(got.Rows[0].Factor > 0 && got.Rows[0].Factor <= maxRatio)
			is.True(got.Rows[0].Rejections >= 0 && got.Rows[0].Rejections <= 1)
			is.True(got.Rows[0].MeanMs >= 0)
		})
	}
}

// TestBadMessages guards against an owner that stops, or that decides wrongly for others, after a message that no router of this build
// sends.
func TestBadMessages(t *testing.T) {
	long := string(bytes.Repeat([]byte("x"), 1<<20))
	number := func(n int64) map[int]any { // a question or report with all numbers set
		m := map[int]any{1: string(chat), 2: "vm2", 3: "bad"}
		for k := 6; k <= 12; k++ {
			m[k] = n
		}
		m[14] = n
		return m
	}
	runs := func(count int, one map[int]any) map[int]any {
		var all []any
		for range count {
			all = append(all, one)
		}
		return map[int]any{1: string(chat), 2: "vm9", 3: uint64(1), 4: uint64(1), 5: all}
	}
	tests := map[string]struct {
		path string
		body any // raw bytes are sent as they are
		want int // 0 for any error of the caller
	}{
		"no body":               {path: askPath, body: []byte{}},
		"no CBOR":               {path: askPath, body: []byte("hello")},
		"truncated":             {path: reportPath, body: []byte{0xa3, 0x01, 0x64}},
		"endless list":          {path: reportPath, body: []byte{0xa1, 0x05, 0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}},
		"deep nesting":          {path: askPath, body: bytes.Repeat([]byte{0x81}, 1<<16)},
		"wrong types":           {path: askPath, body: map[int]any{1: 5, 3: []int{1}, 10: "x"}},
		"unknown fields":        {path: askPath, body: map[int]any{1: string(chat), 99: map[string]int{"x": 1}, 100: 1.5}, want: http.StatusOK},
		"no numbers":            {path: askPath, body: map[int]any{1: string(chat), 2: "vm2", 3: "bad"}, want: http.StatusOK},
		"smallest numbers":      {path: askPath, body: number(math.MinInt64), want: http.StatusOK},
		"largest numbers":       {path: askPath, body: number(math.MaxInt64), want: http.StatusOK},
		"long ids":              {path: askPath, body: map[int]any{1: string(chat), 2: long, 3: long, 4: long}, want: http.StatusOK},
		"long name":             {path: askPath, body: map[int]any{1: long}, want: http.StatusOK},
		"smallest run":          {path: reportPath, body: runs(3, map[int]any{3: uint64(7), 5: math.MinInt64, 6: math.MinInt64, 8: math.MinInt64}), want: http.StatusOK},
		"largest run":           {path: reportPath, body: runs(3, map[int]any{3: uint64(math.MaxUint64), 5: math.MaxInt64, 6: math.MaxInt64, 8: math.MaxInt64}), want: http.StatusOK},
		"too many runs":         {path: reportPath, body: runs(2*maxRuns, map[int]any{3: uint64(7)}), want: http.StatusOK},
		"report without origin": {path: reportPath, body: map[int]any{1: string(chat)}, want: http.StatusOK},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, 4, 4, 2)
				defer f.stop()
				time.Sleep(settle)
				body, raw := c.body.([]byte)
				if !raw {
					var err error
					body, err = cbor.Marshal(c.body)
					is.NoErr(err)
				}
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				r := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://vm0"+c.path, bytes.NewReader(body))
				r.RequestURI = ""
				r.Header.Set("Content-Type", "application/cbor")
				response, err := f.clients[2].HTTP.Do(r)
				is.NoErr(err)
				if c.want == 0 {
					is.True(response.StatusCode >= 400 && response.StatusCode != http.StatusInternalServerError)
				} else {
					is.Equal(response.StatusCode, c.want)
				}
				is.True(f.runs() <= maxRuns)
				time.Sleep(grantEnd) // until what the message claims is over
				for i := range 8 {
					f.start(2, jaywind.RequestID(fmt.Sprint("r", i)))
				}
			})
		})
	}
}

const grantEnd = reportTTL + time.Second
