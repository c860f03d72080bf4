package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	queueLength = 2048 // lines, of about 300 bytes each
	lineRate    = 60   // lines of one message in a second that are all written
	lineShare   = 50   // past the rate, one in so many is
	closeLimit  = time.Second
)

// Log is a logger with its writer.
type Log struct {
	Logger *zap.Logger

	level   zap.AtomicLevel
	queue   chan []byte
	out     io.Writer
	dropped atomic.Int64 // lines that found no room
	sampled atomic.Int64 // lines past the rate
	group   conc.WaitGroup
	once    sync.Once
	ended   chan struct{}
}

// New returns a log of a level (debug, info, warn or error) that writes JSON lines to out.
func New(level string, out io.Writer) (*Log, error) {
	at, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, err
	}
	l := &Log{level: at, queue: make(chan []byte, queueLength), out: out, ended: make(chan struct{})}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), l, at)
	core = zapcore.NewSamplerWithOptions(core, time.Second, lineRate, lineShare, zapcore.SamplerHook(l.count))
	l.Logger = zap.New(core)
	l.group.Go(l.write)
	return l, nil
}

func (l *Log) count(_ zapcore.Entry, d zapcore.SamplingDecision) {
	if d&zapcore.LogDropped != 0 {
		l.sampled.Add(1)
	}
}

// SetLevel changes the level.
func (l *Log) SetLevel(level string) error {
	at, err := zapcore.ParseLevel(level)
	if err != nil {
		return err
	}
	l.level.SetLevel(at)
	return nil
}

// Write queues a line, or counts it as dropped.
func (l *Log) Write(line []byte) (int, error) {
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: lines are written as they come.
func (l *Log) Sync() error { return nil }

// Left returns how many lines found no room, and how many were past the rate.
func (l *Log) Left() (dropped, sampled int64) {
	return l.dropped.Load(), l.sampled.Load()
}

func (l *Log) write() {
	defer close(l.ended)
	for line := range l.queue {
		_, _ = l.out.Write(line) // there is nowhere else to say that it failed
	}
}

// Close writes what is queued, for a second at most; no line may be logged after it.
func (l *Log) Close() {
	l.once.Do(func() {
		close(l.queue)
		select {
		case <-l.ended:
		case <-time.After(closeLimit):
		}
	})
}
