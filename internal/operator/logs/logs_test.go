package logs_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"jaywind/internal/operator/logs"
)

// blockedWriter is an output whose writes block until free is closed.
type blockedWriter struct{ free chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.free
	return len(p), nil
}

// TestBlockedOutput checks that logging does not block while the output does, and that dropped lines are counted.
func TestBlockedOutput(t *testing.T) {
	is := is.New(t)
	out := blockedWriter{make(chan struct{})}
	l, err := logs.New("info", out)
	is.NoErr(err)
	begin := time.Now()
	for i := range 10000 {
		l.Logger.Info(fmt.Sprintf("part %d: said", i)) // different messages are not sampled
	}
	is.True(time.Since(begin) < 5*time.Second)
	dropped, _ := l.SuppressedLines()
	is.True(dropped > 7000)
	close(out.free)
	l.Close()
}

// TestVolume checks that ten times the lines give less than twice the output.
func TestVolume(t *testing.T) {
	volume := func(lines int) int {
		var out bytes.Buffer
		l, err := logs.New("info", &out)
		if err != nil {
			t.Fatal(err)
		}
		for i := range lines {
			l.Logger.Info("request: answered", zap.Int("n", i))
		}
		l.Close()
		return strings.Count(out.String(), "\n")
	}
	is := is.New(t)
	few, many := volume(100), volume(1000)
	is.True(few >= 60)
	is.True(many < 2*few)
}

func TestLevel(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l, err := logs.New("warn", &out)
	is.NoErr(err)
	l.Logger.Info("a: first")
	is.NoErr(l.SetLevel("info"))
	l.Logger.Info("a: second")
	is.True(l.SetLevel("loud") != nil) // an unknown level changes nothing
	l.Close()
	is.True(!strings.Contains(out.String(), "first"))
	is.True(strings.Contains(out.String(), "second"))
	_, err = logs.New("loud", &out)
	is.True(err != nil)
}

// BenchmarkTenfold logs ten times the lines of a VM at its usual load, which is 100 requests a second with one line each,
// and reports how many lines a second are written.
func BenchmarkTenfold(b *testing.B) {
	const second = 10 * 100
	for b.Loop() {
		var out bytes.Buffer
		l, err := logs.New("info", &out)
		if err != nil {
			b.Fatal(err)
		}
		for i := range second {
			l.Logger.Info("request: answered", zap.Int("n", i), zap.String("request", "9c41d07be2a35f68"), zap.String("endpoint", "i-1547065c89"))
		}
		l.Close()
		b.ReportMetric(float64(strings.Count(out.String(), "\n")), "lines/s")
	}
}
