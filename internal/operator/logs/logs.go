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
	queueLines   = 2048 // of about 300 bytes each
	keptLines    = 256  // of the queue, which only lines that are not sampled may fill
	sampleAfter  = 60   // lines of one message in a second, which are all written
	sampleEvery  = 50   // of the further lines in that second, one in this many is written
	closeTimeout = time.Second
)

// Log is a logger with a queue in front of its output.
type Log struct {
	Logger *zap.Logger
	// Complete is the same logger without sampling, for lines whose number is bounded by other means.
	Complete *zap.Logger

	level   zap.AtomicLevel
	queue   chan []byte
	mu      sync.RWMutex // guards closed
	closed  bool
	out     io.Writer
	dropped atomic.Int64 // lines dropped because the queue was full
	sampled atomic.Int64 // lines that sampling left out
	group   conc.WaitGroup
	once    sync.Once
	ended   chan struct{}
}

// New returns a log that writes JSON lines of a level (debug, info, warn or error) and above to out.
func New(level string, out io.Writer) (*Log, error) {
	at, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, err
	}
	l := &Log{level: at, queue: make(chan []byte, queueLines), out: out, ended: make(chan struct{})}
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), writer{l, queueLines - keptLines}, at)
	core = zapcore.NewSamplerWithOptions(core, time.Second, sampleAfter, sampleEvery, zapcore.SamplerHook(l.countSampled))
	l.Logger = zap.New(core)
	l.Complete = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(config), writer{l, queueLines}, at))
	l.group.Go(l.write)
	return l, nil
}

func (l *Log) countSampled(_ zapcore.Entry, d zapcore.SamplingDecision) {
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

// writer queues lines while fewer than most are queued, and counts the others as dropped.
type writer struct {
	log  *Log
	most int
}

func (w writer) Write(line []byte) (int, error) {
	l := w.log
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.closed || len(l.queue) >= w.most {
		l.dropped.Add(1)
		return len(line), nil
	}
	select {
	case l.queue <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: the writer goroutine writes lines without delay.
func (w writer) Sync() error { return nil }

// SuppressedLines returns how many lines were dropped because the queue was full, and how many sampling left out.
func (l *Log) SuppressedLines() (dropped, sampled int64) {
	return l.dropped.Load(), l.sampled.Load()
}

func (l *Log) write() {
	defer close(l.ended)
	for line := range l.queue {
		_, _ = l.out.Write(line) // a write error can't be reported anywhere
	}
}

// Close writes the queued lines, for at most a second. Lines that are logged later are dropped.
func (l *Log) Close() {
	l.once.Do(func() {
		l.mu.Lock()
		l.closed = true
		l.mu.Unlock()
		close(l.queue)
		select {
		case <-l.ended:
		case <-time.After(closeTimeout):
		}
	})
}
