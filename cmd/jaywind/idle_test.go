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
	idleSettle = 45 * time.Second // for the members to know each other and first connections to be closed
	idleSample = 20 * time.Second
	clockTicks = 100 // a second, of processor time in /proc
	knowLimit  = time.Minute
)

// spent is what the processes of a fleet have used so far.
type spent struct {
	processor time.Duration
	bytes     int64 // read and written by system calls: sockets and the log
	memory    int64 // resident
}

// spentBy adds up what routers have used, by /proc.
func (p *processes) spentBy() spent {
	var s spent
	for _, r := range p.routers {
		dir := fmt.Sprint("/proc/", r.Process.Pid, "/")
		stat := p.fields(dir+"stat", ") ")
		s.processor += time.Duration(stat[11]+stat[12]) * time.Second / clockTicks
		s.memory += p.fields(dir+"statm", "")[1] * int64(os.Getpagesize())
		s.bytes += p.counter(dir+"io", "rchar: ") + p.counter(dir+"io", "wchar: ")
	}
	return s
}

// fields reads the numbers of a line, after a mark; a field that is no number is 0.
func (p *processes) fields(path, mark string) []int64 {
	text := p.proc(path)
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
func (p *processes) counter(path, name string) int64 {
	_, rest, _ := strings.Cut(p.proc(path), name)
	line, _, _ := strings.Cut(rest, "\n")
	n, err := strconv.ParseInt(line, 10, 64)
	if err != nil {
		p.t.Fatal(err)
	}
	return n
}

func (p *processes) proc(path string) string {
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
			eventually(b, knowLimit, "the routers know each other", func() bool { return p.status(0).Live == n })
			time.Sleep(idleSettle)
			for b.Loop() {
				before := p.spentBy()
				time.Sleep(idleSample)
				after := p.spentBy()
				each := float64(n) * idleSample.Seconds()
				b.ReportMetric(100*(after.processor-before.processor).Seconds()/each, "%core/router")
				b.ReportMetric(float64(after.bytes-before.bytes)/each, "B/router-s")
				b.ReportMetric(float64(after.memory)/float64(n)/1e6, "MB/router")
			}
		})
	}
}
