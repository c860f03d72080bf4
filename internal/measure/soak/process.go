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

// span is a time in which something was disturbed; until is zero while it lasts.
type span struct {
	from, until   time.Time
	stopRequested time.Time // when SIGTERM was sent, if the process exited because of it
	silent        bool      // the process was only silent, and went on
}

// process is a named program that can be restarted. Each run of it is an incarnation.
type process struct {
	name       string
	path       string
	args       []string
	log        io.Writer // receives standard error, and standard output unless readOutput is set
	readOutput func(io.Reader)

	mu           sync.Mutex
	command      *exec.Cmd
	exited       chan struct{} // closed when the current incarnation has exited
	exitedAt     time.Time     // when an incarnation last exited
	claimed      bool          // by a fault that kills, stops, pauses, drains or disturbs it
	disturbances []span        // times in which it was down or impaired
	group        conc.WaitGroup
}

// start starts the next incarnation.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := exec.Command(p.path, p.args...)
	c.Stderr = p.log
	exited := make(chan struct{})
	if p.readOutput == nil {
		c.Stdout = p.log
	} else {
		out, err := c.StdoutPipe()
		if err != nil {
			return err
		}
		p.group.Go(func() { p.readOutput(out) })
	}
	if err := c.Start(); err != nil {
		return err
	}
	p.command, p.exited = c, exited
	p.group.Go(func() {
		_, _ = c.Process.Wait() // the exit status is not checked: the signals that were sent explain it
		p.mu.Lock()
		p.exitedAt = time.Now()
		p.mu.Unlock()
		close(exited)
	})
	return nil
}

// signal sends a signal to the current incarnation; it does nothing if that has exited.
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

// pid returns the process id of the current incarnation, or 0 if it has exited.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	select {
	case <-p.exited:
		return 0
	default:
		return p.command.Process.Pid
	}
}

// downFor returns how long ago an incarnation last exited.
func (p *process) downFor() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.exitedAt)
}

// waitExit waits for the current incarnation to exit and returns false on timeout.
func (p *process) waitExit(limit time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill kills the process and waits for its goroutines.
func (p *process) kill() {
	if p.pid() != 0 {
		p.signal(syscall.SIGKILL)
		p.waitExit(maxFaultTime)
	}
	p.group.Wait()
}

// claim reserves the process for one fault. Further faults on it are skipped until release.
func (p *process) claim() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.claimed {
		return false
	}
	p.claimed = true
	return true
}

func (p *process) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.claimed = false
}

// disturb records that the process is disturbed from now until the returned function is called.
func (p *process) disturb() (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addSpan(span{from: time.Now()})
}

// silence records that the process is silent, and otherwise sound, from now until the returned function is called.
func (p *process) silence() (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addSpan(span{from: time.Now(), silent: true})
}

// recordDowntime records that the process is down after a SIGTERM, from its exit until the returned function is called.
func (p *process) recordDowntime(requestedAt time.Time) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addSpan(span{from: p.exitedAt, stopRequested: requestedAt})
}

// addSpan appends a span and returns the function that ends it; the caller holds mu.
func (p *process) addSpan(s span) (end func()) {
	i := len(p.disturbances)
	p.disturbances = append(p.disturbances, s)
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.disturbances[i].until = time.Now()
	}
}

// disturbed reports whether the process was disturbed between from and until, widened by margin on both sides.
func (p *process) disturbed(from, until time.Time, margin time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return overlaps(p.disturbances, from, until, margin)
}

// unsound reports the same as disturbed, for disturbances other than silence.
func (p *process) unsound(from, until time.Time, margin time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.disturbances, func(s span) bool { return !s.silent && s.overlaps(from, until, margin) })
}

// quietUntil returns the end of the last disturbance between from and until, or from if there is none.
func (p *process) quietUntil(from, until time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := from
	for _, s := range p.disturbances {
		if s.overlaps(from, until, 0) && s.until.After(last) {
			last = s.until
		}
	}
	return last
}

func overlaps(spans []span, from, until time.Time, margin time.Duration) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.overlaps(from, until, margin) })
}

func (s span) overlaps(from, until time.Time, margin time.Duration) bool {
	return s.from.Before(until.Add(margin)) && (s.until.IsZero() || s.until.Add(margin).After(from))
}

const (
	firstPort, lastPort = 20000, 31999 // below the ephemeral ports of the system
	blockPorts          = 1000         // per run; other runs do not use them, even while nothing listens there
)

// ports allocates free ports from a block, which is reserved for this run while guard listens on its first port.
type ports struct {
	guard     net.Listener
	last, end int
}

// reserve reserves a block of ports. It tries the block with index place first, modulo their number.
func (p *ports) reserve(place int) error {
	const blocks = (lastPort + 1 - firstPort) / blockPorts
	for i := range blocks {
		first := firstPort + (place+i)%blocks*blockPorts
		guard, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(first))
		if err == nil {
			p.guard, p.last, p.end = guard, first, first+blockPorts
			return nil
		}
	}
	return errors.New("all port blocks are in use by other runs")
}

// next returns an address with a free port.
func (p *ports) next() (string, error) {
	for p.last+1 < p.end {
		p.last++
		address := "127.0.0.1:" + strconv.Itoa(p.last)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, l.Close()
	}
	return "", errors.New("no free port in the reserved block")
}

// proxy is a relay in front of one process.
type proxy struct {
	relay.Relay
	address  string
	listener net.Listener
}

func openProxy(group *conc.WaitGroup, target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &proxy{address: l.Addr().String(), listener: l}
	g.Target = target
	group.Go(func() { _ = g.Serve(l) }) // returns after close
	return g, nil
}

func (g *proxy) close() {
	_ = g.listener.Close()
	g.Close()
}
