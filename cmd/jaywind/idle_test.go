package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	idleSettleTime      = 45 * time.Second // for the members to know each other and first connections to be closed
	idleSampleTime      = 20 * time.Second
	clockTicksPerSecond = 100 // a second, of processor time in /proc
	membershipTimeout   = time.Minute
)

// spent is what the processes of a fleet have used so far.
type resourceUsage struct {
	cpuTime       time.Duration
	ioBytes       int64 // read and written by system calls: sockets and the log
	residentBytes int64 // resident
}

// spentBy adds up what routers have used, by /proc.
func (p *processes) routerUsage() resourceUsage {
	var s resourceUsage
	for _, r := range p.routers {
		dir := fmt.Sprint("/proc/", r.Process.Pid, "/")
		stat := p.procFields(dir+"stat", ") ")
		s.cpuTime += time.Duration(stat[11]+stat[12]) * time.Second / clockTicksPerSecond
		s.residentBytes += p.procFields(dir+"statm", "")[1] * int64(os.Getpagesize())
		s.ioBytes += p.procCounter(dir+"io", "rchar: ") + p.procCounter(dir+"io", "wchar: ")
	}
	return s
}

// fields reads the numbers of a line, after a mark; a field that is no number is 0.
func (p *processes) procFields(path, mark string) []int64 {
	text := p.readProc(path)
	if at := strings.LastIndex(text, mark); mark != "" && at >= 0 {
		text = text[at+len(mark):]
	}
	var out []int64
	for _, f := range strings.Fields(text) {
		n, _ := strconv.ParseInt(f, 10, 64)
		out = append(out, n)
	}
	return out
}

// counter reads the number behind a name.
func (p *processes) procCounter(path, name string) int64 {
	_, rest, _ := strings.Cut(p.readProc(path), name)
	line, _, _ := strings.Cut(rest, "\n")
	n, err := strconv.ParseInt(line, 10, 64)
	if err != nil {
		p.t.Fatal(err)
	}
	return n
}

func (p *processes) readProc(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		p.t.Fatal("this is read from /proc: ", err)
	}
	return string(text)
}

// BenchmarkIdleProcesses measures what a router process spends when nobody asks for anything.
func BenchmarkIdleProcesses(b *testing.B) {
	for _, n := range []int{3, 12, 36} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p := startProcesses(b, n)
			eventually(b, membershipTimeout, "the routers know each other", func() bool { return p.status(0).Live == n })
			time.Sleep(idleSettleTime)
			for b.Loop() {
				before := p.routerUsage()
				time.Sleep(idleSampleTime)
				after := p.routerUsage()
				each := float64(n) * idleSampleTime.Seconds()
				b.ReportMetric(100*(after.cpuTime-before.cpuTime).Seconds()/each, "%core/router")
				b.ReportMetric(float64(after.ioBytes-before.ioBytes)/each, "B/router-s")
				b.ReportMetric(float64(after.residentBytes)/float64(n)/1e6, "MB/router")
			}
		})
	}
}
