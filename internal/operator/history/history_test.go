package history

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"jaywind/internal/operator/scrape"
)

// TestRecord records a VM that replies and one that does not, and reads both back.
func TestRecord(t *testing.T) {
	is := is.New(t)
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests.safe.answered", registry).Inc(7)
	vm := httptest.NewServer(scrape.Handler(registry))
	defer vm.Close()
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	var out bytes.Buffer
	r := Recorder{VMs: map[string]string{"vm1": vm.URL, "vm2": gone.URL}, Interval: 50 * time.Millisecond, Out: &out}
	is.NoErr(r.Run(ctx))
	h, err := Read(&out)
	is.NoErr(err)
	is.Equal(h.BadLines, 0)
	is.True(len(h.Snapshots) >= 4)
	for _, s := range h.Snapshots {
		is.Equal(s.Values["jaywind_requests_safe_answered"] == 7, s.VM == "vm1")
		is.Equal(s.Error != "", s.VM == "vm2")
	}
}

// TestOutputIsFull checks that Run returns a write error instead of losing snapshots.
func TestOutputIsFull(t *testing.T) {
	is := is.New(t)
	vm := httptest.NewServer(scrape.Handler(metrics.NewRegistry()))
	defer vm.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r := Recorder{VMs: map[string]string{"vm1": vm.URL}, Interval: time.Millisecond, Out: fullWriter{}}
	is.True(errors.Is(r.Run(ctx), errFull))
}

type fullWriter struct{}

var errFull = errors.New("no space left")

func (fullWriter) Write([]byte) (int, error) { return 0, errFull }

func TestReadLeavesBadLinesOut(t *testing.T) {
	is := is.New(t)
	h, err := Read(strings.NewReader("{\"at\":\"2026-12-04T01:00:01Z\",\"vm\":\"b\"}\nnothing\n{}\n{\"at\":\"2026-12-04T01:00:00Z\",\"vm\":\"a\"}\n{\"at\":\"2026-"))
	is.NoErr(err)
	is.Equal(h.BadLines, 3)
	is.Equal(len(h.Snapshots), 2)
	is.Equal(h.Snapshots[0].VM, "a") // sorted by time
}

// recordedDay returns ten seconds of two VMs. The second one is down at second 5 and restarts with its counters at 0.
func recordedDay() History {
	var h History
	begin := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	for second := range 11 {
		h.Snapshots = append(h.Snapshots, Snapshot{At: begin.Add(time.Duration(second) * time.Second), VM: "vm1", Values: map[string]float64{
			"jaywind_requests_safe_answered": float64(10 * second), "jaywind_members": 2, "jaywind_config_version": float64(4 + second/5),
			`jaywind_streams_first_ms{quantile="0.5"}`: 900, `jaywind_streams_first_ms{quantile="0.95"}`: 1500,
		}})
		s := Snapshot{At: begin.Add(time.Duration(second) * time.Second), VM: "vm2", Error: "refused"}
		if second != 5 {
			s = Snapshot{At: s.At, VM: s.VM, Values: map[string]float64{
				"jaywind_requests_stream_answered": float64(20 * (second % 6)), "jaywind_members": 1, "jaywind_config_version": 4,
			}}
		}
		h.Snapshots = append(h.Snapshots, s)
	}
	return h
}

// TestRates checks that a counter reset by a VM's restart gives no negative rate and loses no earlier counts.
func TestRates(t *testing.T) {
	is := is.New(t)
	rates := map[float64]float64{}
	for _, p := range recordedDay().rates(hasOutcome("answered")) {
		rates[p.seconds] = p.value
	}
	is.Equal(rates[0], 30.0)
	is.Equal(rates[3], 30.0)
	is.Equal(rates[4], 10.0) // vm2 is down; what it counted after its last snapshot is not known
	is.Equal(rates[7], 30.0)
}

func TestGauges(t *testing.T) {
	is := is.New(t)
	h := recordedDay()
	least, most := h.extremes("jaywind_members")
	is.Equal(least[0].value, 1.0)
	is.Equal(most[0].value, 2.0)
	is.Equal(least[5].value, 2.0) // of the VM that replied
	answering := h.answering()
	is.Equal(answering[4].value, 2.0)
	is.Equal(answering[5].value, 1.0)
}

func TestWritePlot(t *testing.T) {
	is := is.New(t)
	for _, ending := range []string{"svg", "png"} {
		file := filepath.Join(t.TempDir(), "day."+ending)
		is.NoErr(recordedDay().WritePlot(file))
		b, err := os.ReadFile(file)
		is.NoErr(err)
		is.True(len(b) > 2000)
		if ending == "svg" {
			for _, want := range []string{"requests a second", "first event", "VMs", "version of the configuration", "answered"} {
				is.True(strings.Contains(string(b), want)) // title of a panel or name of a curve
			}
		}
	}
	is.True(errors.Is(History{}.WritePlot("day.svg"), ErrEmpty))
	is.True(recordedDay().WritePlot(filepath.Join(t.TempDir(), "day.cake")) != nil)
}

// TestLongBreak checks that a long interval between two snapshots adds no point for each of its seconds.
func TestLongBreak(t *testing.T) {
	is := is.New(t)
	h := recordedDay()
	h.Snapshots = append(h.Snapshots, Snapshot{At: h.begin().AddDate(100, 0, 0), VM: "vm1", Values: map[string]float64{"jaywind_requests_safe_answered": 1e6}})
	is.True(len(h.rates(hasOutcome("answered"))) < 20)
}

// FuzzRead checks that no file makes reading or evaluating a history panic.
func FuzzRead(f *testing.F) {
	f.Add(`{"at":"2026-12-04T01:00:00Z","vm":"a","values":{"jaywind_members":1}}` + "\n" + `{"at":"2126-12-04T01:00:00Z","vm":"a","values":{"jaywind_requests_safe_answered":-3}}`)
	f.Add(fmt.Sprintf("%s\n", `{"at":"0001-01-01T00:00:01Z","vm":"a"}`))
	f.Fuzz(func(t *testing.T, text string) {
		h, err := Read(strings.NewReader(text))
		if err != nil || len(h.Snapshots) < 2 {
			return
		}
		_ = h.rates(hasOutcome("answered"))
		_, _ = h.extremes("jaywind_members")
	})
}
