package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"jaywind/internal/standin/relay"
)

// span is a time in which something was disturbed; its end is zero while it lasts.
type span struct {
	from, till time.Time
	asked      time.Time // when a process was asked to end, if it did so by itself
}

// process is one program that is started, and started again, under a name.
type process struct {
	name string
	bin  string
	args []string
	log  io.Writer // of standard error, and of standard output unless lines is set
	read func(io.Reader)

	mu      sync.Mutex
	command *exec.Cmd
	gone    chan struct{} // closed when the present incarnation has ended
	ended   time.Time     // when the last one did
	busy    bool          // a strike is ending or pausing it
	spans   []span        // in which it was ended or paused
	group   conc.WaitGroup
}

// start starts the next incarnation.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := exec.Command(p.bin, p.args...)
	c.Stderr = p.log
	gone := make(chan struct{})
	if p.read == nil {
		c.Stdout = p.log
	} else {
		out, err := c.StdoutPipe()
		if err != nil {
			return err
		}
		p.group.Go(func() { p.read(out) })
	}
	if err := c.Start(); err != nil {
		return err
	}
	p.command, p.gone = c, gone
	p.group.Go(func() {
		_, _ = c.Process.Wait() // how it ended is known from the signals that were sent
		p.mu.Lock()
		p.ended = time.Now()
		p.mu.Unlock()
		close(gone)
	})
	return nil
}

// signal sends a signal to the present incarnation; one that has ended takes none.
func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	if err := p.command.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		_, _ = fmt.Fprintf(p.log, "soak: signal %v: %v\n", s, err)
	}
}

// pid returns the id of the present incarnation, or 0 if it has ended.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	select {
	case <-p.gone:
		return 0
	default:
		return p.command.Process.Pid
	}
}

// wait waits for the end of the present incarnation and returns false if that takes too long.
func (p *process) wait(limit time.Duration) bool {
	p.mu.Lock()
	gone := p.gone
	p.mu.Unlock()
	select {
	case <-gone:
		return true
	case <-time.After(limit):
		return false
	}
}

// end kills the process for good.
func (p *process) end() {
	if p.pid() != 0 {
		p.signal(syscall.SIGKILL)
		p.wait(longest)
	}
	p.group.Wait()
}

// claim reserves the process for one strike; a strike on one that is taken does nothing.
func (p *process) claim() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy {
		return false
	}
	p.busy = true
	return true
}

func (p *process) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = false
}

// disturb notes that the process is disturbed from now on, until the returned function is called.
func (p *process) disturb() (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.note(span{from: time.Now()})
}

// rest notes that the process has ended by itself after it was asked to, until the returned function is called.
func (p *process) rest(asked time.Time) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.note(span{from: p.ended, asked: asked})
}

// note keeps a span; the caller holds mu.
func (p *process) note(s span) (end func()) {
	i := len(p.spans)
	p.spans = append(p.spans, s)
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.spans[i].till = time.Now()
	}
}

// disturbed tells whether the process was disturbed between two times, with some time before and after.
func (p *process) disturbed(from, till time.Time, margin time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return overlaps(p.spans, from, till, margin)
}

func overlaps(spans []span, from, till time.Time, margin time.Duration) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.overlaps(from, till, margin) })
}

func (s span) overlaps(from, till time.Time, margin time.Duration) bool {
	return s.from.Before(till.Add(margin)) && (s.till.IsZero() || s.till.Add(margin).After(from))
}

const (
	firstPort, lastPort = 20000, 31999 // below those that connections take for themselves
	blockPorts          = 1000         // of one run, which other runs leave alone also while nobody listens there
)

// ports hands out free ports of a block that belongs to this run for as long as guard is open.
type ports struct {
	guard     net.Listener
	next, end int
}

// claim takes a block, beginning with the one at some place.
func (p *ports) claim(place int) error {
	const blocks = (lastPort + 1 - firstPort) / blockPorts
	for i := range blocks {
		first := firstPort + (place+i)%blocks*blockPorts
		guard, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(first))
		if err == nil {
			p.guard, p.next, p.end = guard, first, first+blockPorts
			return nil
		}
	}
	return errors.New("other runs have all ports")
}

// take returns a free address.
func (p *ports) take() (string, error) {
	for p.next+1 < p.end {
		p.next++
		at := "127.0.0.1:" + strconv.Itoa(p.next)
		l, err := net.Listen("tcp", at)
		if err != nil {
			continue
		}
		return at, l.Close()
	}
	return "", errors.New("no free port")
}

// gate is a relay before one process.
type gate struct {
	relay.Relay
	at       string
	listener net.Listener
}

func openGate(group *conc.WaitGroup, target string) (*gate, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &gate{at: l.Addr().String(), listener: l}
	g.Target = target
	group.Go(func() { _ = g.Serve(l) }) // ends with close
	return g, nil
}

func (g *gate) close() {
	_ = g.listener.Close()
	g.Close()
}
