package main

import (
	"io"
	"net"
	"sync"
)

// proxy forwards connections to the store. Those that are open can go silent for good, while new ones work.
type proxy struct {
	address string

	mu   sync.Mutex
	open []*link
}

// link is a forwarded connection.
type link struct {
	near, far net.Conn
	mu        sync.Mutex
	silent    bool
}

func newProxy(group *sync.WaitGroup, to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String()}
	group.Go(func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				_ = near.Close()
				continue
			}
			c := &link{near: near, far: far}
			p.mu.Lock()
			p.open = append(p.open, c)
			p.mu.Unlock()
			group.Go(func() { c.forward(near, far) })
			group.Go(func() { c.forward(far, near) })
		}
	})
	return p, nil
}

// forward carries bytes in one direction. On a silent link it goes on reading, and nothing reaches the other side, not even an end.
func (c *link) forward(from, to net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.Lock()
		silent := c.silent
		if !silent && n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = io.ErrClosedPipe
			}
		}
		if err != nil && !silent {
			_, _ = c.near.Close(), c.far.Close()
		}
		c.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// silence makes the open connections silent for good, and returns how many there are.
func (p *proxy) silence() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.open {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
	n = len(p.open)
	p.open = nil
	return n
}
