package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

const (
	crowdMemory      = 88                   // MB, the memory of the router
	crowdMaxResident = crowdMemory * 8 / 10 // MB
	crowdStays       = 2 * time.Second
)

// TestCallerCrowds guards against clients whose requests are of legal size, yet make a router that serves the product's own interface run out of
// memory, or keep it from answering others.
func TestCallerCrowds(t *testing.T) {
	var lines strings.Builder
	for i := range 8500 {
		fmt.Fprintf(&lines, "%04X:\r\n", 0x1000+i)
	}
	const post = "POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
	callers := func(p *processes) string { return p.callers[0] }
	operators := func(p *processes) string { return p.operators[0] }
	tests := map[string]struct {
		connections int
		at          func(p *processes) string
		sent        string
	}{
		"unfinished heads":             {200, callers, post + lines.String()},
		"heads with unfinished bodies": {200, callers, post + "Content-Length: 10\r\n" + lines.String() + "\r\n"},
		"never a byte":                 {2500, callers, ""},
		"sent ahead":                   {500, callers, strings.Repeat("GET /v1/entries HTTP/1.1\r\nHost: h\r\n\r\n", 2000)},
		"unfinished heads, operators":  {200, operators, "GET /metrics HTTP/1.1\r\nHost: h\r\n" + lines.String()},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := startStandins(t, 1)
			p.more = fmt.Sprintf("memory = %d\n", crowdMemory)
			p.startRouters(1, p.store)
			var mu sync.Mutex
			var conns []net.Conn
			var group conc.WaitGroup
			for range c.connections {
				group.Go(func() {
					conn, err := net.Dial("tcp", c.at(p))
					if err != nil {
						return
					}
					mu.Lock()
					conns = append(conns, conn)
					mu.Unlock()
					_ = conn.SetWriteDeadline(time.Now().Add(crowdStays))
					_, _ = io.WriteString(conn, c.sent) // the router may take less, or refuse it
				})
			}
			group.Wait()
			time.Sleep(crowdStays)
			ask := func(when string) {
				eventually(t, readyTimeout, "a request is answered "+when, func() bool {
					_, code := p.run("ask", "-entry", "http://"+p.callers[0], "-model", "heat", "-tokens", "5", "fins")
					return code == exitOK
				})
			}
			ask("beside the crowd")
			for _, conn := range conns {
				_ = conn.Close()
			}
			ask("after the crowd")
			resident := residentMB(t, p.routers[0].Process.Pid)
			t.Logf("%d MB at most", resident)
			is.True(resident <= crowdMaxResident)
		})
	}
}

// residentMB returns the most memory that a process had at any time; the test fails if it has ended.
func residentMB(t *testing.T, pid int) int {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, text, found := strings.Cut(string(b), "VmHWM:")
	if !found {
		t.Fatal("the process has ended")
	}
	kB, err := strconv.Atoi(strings.Fields(text)[0])
	if err != nil {
		t.Fatal(err)
	}
	return kB >> 10
}
