package relay

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	dialLimit   = time.Second
	bufferBytes = 16 << 10
)

// Faults are the switches that tests set.
type Faults struct {
	Silent bool          // carry nothing more, for good, on the connections that are open when it is set
	Forth  bool          // hold back what goes to the target
	Back   bool          // hold back what the target sends
	Delay  time.Duration // of each part, in both directions
}

// Relay carries connections to a target; set Target before Serve.
type Relay struct {
	Target string // host and port

	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed and replaced when the faults change
	lines   map[*line]struct{}
	closed  bool
}

// line is one connection of a caller and the one to the target that belongs to it.
type line struct {
	caller, target net.Conn
	silent         bool
	ended          chan struct{}
	end            sync.Once
}

func (n *line) close() {
	n.end.Do(func() { close(n.ended) })
	_ = n.caller.Close()
	_ = n.target.Close()
}

// Set replaces the faults.
func (r *Relay) Set(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
	for n := range r.lines {
		n.silent = n.silent || f.Silent
	}
	if r.changed != nil {
		close(r.changed)
	}
	r.changed = make(chan struct{})
}

// Reset ends the connections that are open.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := range r.lines {
		n.close()
	}
}

func (r *Relay) delay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults.Delay
}

// Serve carries the connections of a listener until Close, or returns the listener's error.
func (r *Relay) Serve(l net.Listener) error {
	var group conc.WaitGroup
	defer group.Wait()
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		group.Go(func() { r.carry(c) })
	}
}

// Close ends all connections; the listener is the caller's to close.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for n := range r.lines {
		n.close()
	}
}

func (r *Relay) carry(caller net.Conn) {
	target, err := net.DialTimeout("tcp", r.Target, dialLimit)
	if err != nil {
		_ = caller.Close()
		return
	}
	n := &line{caller: caller, target: target, ended: make(chan struct{})}
	if !r.add(n) {
		n.close()
		return
	}
	defer r.remove(n)
	var group conc.WaitGroup
	group.Go(func() { r.copy(n, target, caller, func(f Faults) bool { return f.Forth }) })
	group.Go(func() { r.copy(n, caller, target, func(f Faults) bool { return f.Back }) })
	group.Wait()
}

func (r *Relay) add(n *line) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	if r.lines == nil {
		r.lines = map[*line]struct{}{}
	}
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	r.lines[n] = struct{}{}
	return true
}

func (r *Relay) remove(n *line) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.lines, n)
}

// copy carries one direction of a line, each part once no fault holds it back.
func (r *Relay) copy(n *line, to, from net.Conn, held func(Faults) bool) {
	buffer := make([]byte, bufferBytes)
	for {
		count, err := from.Read(buffer)
		if !r.wait(n, held) {
			return
		}
		if count > 0 {
			time.Sleep(r.delay())
			if _, err := to.Write(buffer[:count]); err != nil {
				n.close()
				return
			}
		}
		if err != nil {
			n.close()
			return
		}
	}
}

// wait returns whether a direction of a line may go on, once it may or the line has ended.
// The end of a connection is held back like all else: a lost packet tells nothing of it.
func (r *Relay) wait(n *line, held func(Faults) bool) bool {
	for {
		r.mu.Lock()
		stopped := n.silent || held(r.faults)
		changed := r.changed
		r.mu.Unlock()
		if !stopped {
			return true
		}
		select {
		case <-changed:
		case <-n.ended:
			return false
		}
	}
}
