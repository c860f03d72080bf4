//go:build race

package bubble

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

var processors limit

// Test runs f in a new bubble and returns when all goroutines of the bubble have ended.
// Until then, the process is limited to one processor.
func Test(t *testing.T, f func(*testing.T)) {
	t.Helper()
	processors.acquire()
	defer processors.release()
	synctest.Test(t, f)
}

// A limit keeps the process on one processor while it is held at least once.
//
// Go 1.26 runs all due timers of a bubble in one race context, which crashes the race
// detector when two goroutines run due timers in parallel.
type limit struct {
	mu      sync.Mutex
	holders int
	before  int // GOMAXPROCS without the limit
}

func (l *limit) acquire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holders == 0 {
		l.before = runtime.GOMAXPROCS(1)
	}
	l.holders++
}

func (l *limit) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holders--
	if l.holders == 0 {
		runtime.GOMAXPROCS(l.before)
	}
}
