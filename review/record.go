package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes down what was sent, answered and run.
type record struct {
	begun time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
	runs map[string][]run // by the id of the request
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begun: time.Now(), file: f, out: bufio.NewWriter(f), runs: map[string][]run{}}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%9.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) ran(n run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[n.id] = append(r.runs[n.id], n)
	r.write("%s runs %s %s, tenant %q", n.replica, n.id, n.target, n.tenant)
}

func (r *record) runsOf(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs[id]...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
