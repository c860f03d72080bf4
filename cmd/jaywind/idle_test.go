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
	idleSettleTime      = 45 * time.Second // until the routers know each other and the first connections are closed
	idleSampleTime      = 20 * time.Second
	clockTicksPerSecond = 100 // USER_HZ, the unit of CPU time in /proc
	membershipTimeout   = time.Minute
)

// resourceUsage is the total resource usage of the routers' processes.
type resourceUsage struct {
	cpuTime       time.Duration
	ioBytes       int64 // read and written by system calls, on sockets and the log
	residentBytes int64 // resident
}

// routerUsage sums up the usage of all routers, as reported in /proc.
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

// procFields returns the fields of a file that follow the last occurrence of mark. Fields that are not numbers are 0.
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

// procCounter returns the number that follows a name.
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
		p.t.Fatal("this benchmark needs /proc: ", err)
	}
	return string(text)
}

// BenchmarkIdleProcesses measures the CPU time, I/O and memory of a router process without requests.
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
