package cuts

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"jaywind"
)

const (
	maxLines  = 40                     // with all fields, in each window
	maxListed = 100                    // ids in one list
	maxAge    = 250 * time.Millisecond // of an id that waits to be listed, if Flush is called as often
	window    = time.Second
)

// ListMessage is the message of a line that names several requests, in its field "requests".
const ListMessage = "requests: cut"

// Recorder logs requests that end without a whole answer. Set Log before use.
type Recorder struct {
	Log *zap.Logger // without sampling

	mu      sync.Mutex
	from    time.Time // begin of the present window
	lines   int       // in the present window
	pending map[string][]string
	since   time.Time // of the oldest id in pending
}

// Record logs that a request has ended without a whole answer, with a line of its own or in a list.
func (c *Recorder) Record(level zapcore.Level, message string, id jaywind.RequestID, cause string, fields ...zap.Field) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if now.Sub(c.from) >= window {
		c.from, c.lines = now, 0
	}
	if c.lines < maxLines {
		c.lines++
		c.Log.Log(level, message, append([]zap.Field{zap.String("request", id.Logged()), zap.String("cause", cause)}, fields...)...)
		return
	}
	if c.pending == nil {
		c.pending = map[string][]string{}
	}
	if len(c.pending) == 0 {
		c.since = now
	}
	c.pending[cause] = append(c.pending[cause], id.Logged())
	if len(c.pending[cause]) >= maxListed {
		c.list(cause)
	}
}

// Flush logs the ids that wait to be listed.
func (c *Recorder) Flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 || time.Since(c.since) < maxAge {
		return
	}
	c.flush()
}

// Close logs the ids that wait to be listed, however short.
func (c *Recorder) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.flush()
}

func (c *Recorder) flush() {
	causes := make([]string, 0, len(c.pending))
	for cause := range c.pending {
		causes = append(causes, cause)
	}
	slices.Sort(causes)
	for _, cause := range causes {
		c.list(cause)
	}
}

func (c *Recorder) list(cause string) {
	c.Log.Warn(ListMessage, zap.String("cause", cause), zap.Strings("requests", c.pending[cause]))
	delete(c.pending, cause)
}
