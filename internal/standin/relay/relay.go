package relay

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	dialTimeout = time.Second
	bufferBytes = 16 << 10
)

// Faults are the faults to inject.
type Faults struct {
	Blackhole      bool          // permanently carry nothing on the connections that are open when it is set
	HoldToTarget   bool          // hold back data to the target
	HoldFromTarget bool          // hold back data from the target
	Delay          time.Duration // before each write, in both directions
}

// Relay forwards connections to a target; set Target before Serve.
type Relay struct {
	Target string // host:port

	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed and replaced when the faults change
	links   map[*link]struct{}
	closed  bool
}

// link is a connection of a caller and its connection to the target.
type link struct {
	caller, target net.Conn
	blackholed     bool
	ended          chan struct{}
	closeOnce      sync.Once
}

func (n *link) close() {
	n.closeOnce.Do(func() { close(n.ended) })
	_ = n.caller.Close()
	_ = n.target.Close()
}

// Set replaces the faults.
func (r *Relay) Set(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
	for n := range r.links {
		n.blackholed = n.blackholed || f.Blackhole
	}
	if r.changed != nil {
		close(r.changed)
	}
	r.changed = make(chan struct{})
}

// Reset closes the connections that are open.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := range r.links {
		n.close()
	}
}

func (r *Relay) delay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults.Delay
}

// Serve forwards the connections of a listener until the listener is closed, or returns its error.
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
		group.Go(func() { r.forward(c) })
	}
}

// Close closes all connections and refuses new ones. It does not close the listener.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for n := range r.links {
		n.close()
	}
}

func (r *Relay) forward(caller net.Conn) {
	target, err := net.DialTimeout("tcp", r.Target, dialTimeout)
	if err != nil {
		_ = caller.Close()
		return
	}
	n := &link{caller: caller, target: target, ended: make(chan struct{})}
	if !r.add(n) {
		n.close()
		return
	}
	defer r.remove(n)
	var group conc.WaitGroup
	group.Go(func() { r.copy(n, target, caller, func(f Faults) bool { return f.HoldToTarget }) })
	group.Go(func() { r.copy(n, caller, target, func(f Faults) bool { return f.HoldFromTarget }) })
	group.Wait()
}

func (r *Relay) add(n *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	if r.links == nil {
		r.links = map[*link]struct{}{}
	}
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	r.links[n] = struct{}{}
	return true
}

func (r *Relay) remove(n *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, n)
}

// copy forwards one direction of a link. Each read is written once no fault holds it back.
func (r *Relay) copy(n *link, to, from net.Conn, isHeld func(Faults) bool) {
	buffer := make([]byte, bufferBytes)
	for {
		count, err := from.Read(buffer)
		if !r.wait(n, isHeld) {
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

// wait blocks until a direction of a link may go on and returns true, or returns false if the link has ended.
// The end of a connection is held back like data: with packets lost, neither end learns of it.
func (r *Relay) wait(n *link, isHeld func(Faults) bool) bool {
	for {
		r.mu.Lock()
		stopped := n.blackholed || isHeld(r.faults)
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
