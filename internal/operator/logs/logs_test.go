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

// blocked is a standard output that nobody reads.
type blocked struct{ free chan struct{} }

func (b blocked) Write(p []byte) (int, error) {
	<-b.free
	return len(p), nil
}

// TestBlockedOutput: lines never wait for their reader; what finds no room is counted.
func TestBlockedOutput(t *testing.T) {
	is := is.New(t)
	out := blocked{make(chan struct{})}
	l, err := logs.New("info", out)
	is.NoErr(err)
	begin := time.Now()
	for i := range 10000 {
		l.Logger.Info(fmt.Sprintf("part %d: said", i)) // different messages are not sampled
	}
	is.True(time.Since(begin) < 5*time.Second)
	dropped, _ := l.Left()
	is.True(dropped > 7000)
	close(out.free)
	l.Close()
}

// TestVolume: ten times the lines make less than twice the volume.
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
	is.True(l.SetLevel("loud") != nil) // the level stays
	l.Close()
	is.True(!strings.Contains(out.String(), "first"))
	is.True(strings.Contains(out.String(), "second"))
	_, err = logs.New("loud", &out)
	is.True(err != nil)
}

// BenchmarkTenfold logs ten times the lines of a VM at its usual load, 100 requests a second of which each brings one, and
// reports how many lines a second reach the output.
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
