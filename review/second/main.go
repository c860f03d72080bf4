// Command second runs the cases of the second review: it plays the clients, the servers and the platform, and starts the
// project's programs as separate processes.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// record writes what happens to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as it stands in the record.
func (r *record) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// background runs what the cases do not wait for.
var background sync.WaitGroup

var cases = map[string]func(r *record, trouble bool, f func(*fleet)) (broken bool){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: second CASE RECORD, in the root of the repository")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &record{file: file, out: bufio.NewWriter(file), began: time.Now()}
	var system *fleet
	end := func(code int) {
		if system != nil {
			system.stop()
		}
		r.close()
		os.Exit(code)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	background.Go(func() { <-signals; end(2) })
	time.AfterFunc(115*time.Second, func() { r.line("the case takes too long"); end(2) })
	defer func() {
		if cause := recover(); cause != nil {
			r.line("%v", cause)
			fmt.Fprintln(os.Stderr, cause)
			end(2)
		}
	}()
	run, known := cases[os.Args[1]]
	if !known {
		panic("unknown case " + os.Args[1])
	}
	if run(r, os.Getenv("TROUBLE") != "0", func(f *fleet) { system = f }) {
		r.line("BROKEN")
		fmt.Println("broken; see", os.Args[2])
		end(1)
	}
	r.line("held")
	fmt.Println("held")
	end(0)
}
