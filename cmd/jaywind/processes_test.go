package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/internal/client/router"
	standin "jaywind/internal/standin/engine"
)

const (
	fleetSize    = 3
	answerTokens = 150
	struckAt     = 50 // tokens
	tokenGap     = 10 * time.Millisecond
	resumeTarget = 4 * time.Second
	startLimit   = 5 * time.Second
)

// processes is a fleet of real processes on loopback.
type processes struct {
	t       *testing.T
	folder  string
	ports   map[string]string // addresses by name
	running map[string]*exec.Cmd
}

func newProcesses(t *testing.T) *processes {
	p := &processes{t: t, folder: t.TempDir(), ports: map[string]string{}, running: map[string]*exec.Cmd{}}
	build := exec.Command("go", "build", "-o", p.folder, "jaywind/cmd/jaywind", "jaywind/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	t.Cleanup(func() {
		for name := range p.running {
			p.kill(name)
		}
	})
	p.start("store", "standin", "store", "-listen", p.port("store"))
	for i := range fleetSize {
		p.startEngine(fmt.Sprint("e", i+1))
	}
	for i := range fleetSize {
		p.startRouter(fmt.Sprint("vm", i+1))
	}
	return p
}

// port returns a name's address, a free one at first.
func (p *processes) port(name string) string {
	if p.ports[name] == "" {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(p.t).NoErr(err)
		p.ports[name] = l.Addr().String()
		_ = l.Close()
	}
	return p.ports[name]
}

func (p *processes) start(name, program string, args ...string) {
	c := exec.Command(filepath.Join(p.folder, program), args...)
	log, err := os.Create(filepath.Join(p.folder, name+".log"))
	is.New(p.t).NoErr(err)
	defer func() { _ = log.Close() }()
	c.Stdout, c.Stderr = log, log
	is.New(p.t).NoErr(c.Start())
	p.running[name] = c
}

func (p *processes) startEngine(id string) {
	p.start(id, "standin", "engine", "-listen", p.port(id), "-id", id, "-gap", tokenGap.String(), "-keep", "2s")
}

func (p *processes) startRouter(vm string) {
	var seeds, entries []string
	for i := range fleetSize {
		seeds = append(seeds, fmt.Sprintf("%q", "http://"+p.port(fmt.Sprint("vm", i+1, ".fleet"))))
		entries = append(entries, fmt.Sprintf("%q", "http://"+p.port(fmt.Sprint("vm", i+1, ".caller"))))
	}
	text := fmt.Sprintf("vm = %q\ndomain = %q\nsecret = \"0123456789abcdef\"\n", vm, "d"+vm)
	text += fmt.Sprintf("[listen]\ncaller = %q\noperator = %q\nfleet = %q\n", p.port(vm+".caller"), p.port(vm+".operator"), p.port(vm+".fleet"))
	text += fmt.Sprintf("[store]\nurl = \"http://%s\"\n", p.port("store"))
	text += fmt.Sprintf("[fleet]\nseeds = [%s]\nentries = [%s]\n", strings.Join(seeds, ","), strings.Join(entries, ","))
	is.New(p.t).NoErr(os.WriteFile(p.settings(vm), []byte(text), 0o600))
	p.start(vm, "jaywind", "route", "-settings", p.settings(vm))
}

func (p *processes) settings(vm string) string { return filepath.Join(p.folder, vm+".toml") }

// apply puts the rules in force and waits for all routers.
func (p *processes) apply() {
	text := "model heat version=v1 # test\n"
	for i := range fleetSize {
		id := fmt.Sprint("e", i+1)
		text += fmt.Sprintf("endpoint %s model=heat version=v1 url=http://%s domain=d%d # test\n", id, p.port(id), i+1)
	}
	file := filepath.Join(p.folder, "rules.txt")
	is.New(p.t).NoErr(os.WriteFile(file, []byte(text), 0o600))
	apply := exec.Command(filepath.Join(p.folder, "jaywind"), "apply", "-settings", p.settings("vm1"), "-rules", file)
	if out, err := apply.CombinedOutput(); err != nil {
		p.t.Fatalf("apply: %v: %s", err, out)
	}
	p.waitReady()
}

func (p *processes) waitReady() {
	for i := range fleetSize {
		p.wait("http://" + p.port(fmt.Sprint("vm", i+1, ".caller")) + "/readyz")
	}
}

// wait polls a URL until it answers with a success.
func (p *processes) wait(url string) {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get(url)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode < http.StatusMultipleChoices {
			return
		}
	}
	p.t.Fatalf("not ready: %s", url)
}

func (p *processes) signal(name string, s syscall.Signal) {
	_ = p.running[name].Process.Signal(s)
}

func (p *processes) kill(name string) {
	_ = p.running[name].Process.Kill()
	_ = p.running[name].Wait()
	delete(p.running, name)
}

// at returns the name of the process at an address.
func (p *processes) at(address string) string {
	for name, a := range p.ports {
		if a == address {
			return strings.TrimSuffix(name, ".caller")
		}
	}
	return ""
}

// traced notes which router the caller asked last.
type traced struct{ last string }

var afresh = &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}

func (t *traced) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodPost {
		t.last = r.URL.Host
	}
	return afresh.RoundTrip(r)
}

// TestAnswerSurvivesProcesses strikes real processes in mid-answer.
func TestAnswerSurvivesProcesses(t *testing.T) {
	p := newProcesses(t)
	p.wait("http://" + p.port("vm1.caller") + "/healthz")
	p.apply()
	tests := map[string]struct {
		strike func(engine, vm string)
		mend   func(engine, vm string)
	}{
		"engine is killed": {
			strike: func(engine, _ string) { p.kill(engine) },
			mend:   func(engine, _ string) { p.startEngine(engine); p.wait("http://" + p.port(engine) + "/v1/load") },
		},
		"engine is stopped": {
			strike: func(engine, _ string) { p.signal(engine, syscall.SIGSTOP) },
			mend:   func(engine, _ string) { p.signal(engine, syscall.SIGCONT) },
		},
		"router is killed": {
			strike: func(_, vm string) { p.kill(vm) },
			mend:   func(_, vm string) { p.startRouter(vm); p.waitReady() },
		},
		"router is stopped": {
			strike: func(_, vm string) { p.signal(vm, syscall.SIGSTOP) },
			mend:   func(_, vm string) { p.signal(vm, syscall.SIGCONT); p.waitReady() },
		},
		"router and engine are killed": {
			strike: func(engine, vm string) { p.kill(vm); p.kill(engine) },
			mend:   func(engine, vm string) { p.startEngine(engine); p.startRouter(vm); p.waitReady() },
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
			defer cancel()
			trace := &traced{}
			client := &router.Client{Transport: trace}
			for i := range fleetSize {
				client.Entries = append(client.Entries, jaywind.Address("http://"+p.port(fmt.Sprint("vm", i+1, ".caller"))))
			}
			var engine, vm string
			client.OnToken = func(_ jaywind.Token, m jaywind.Bookmark) {
				if m.Position == struckAt {
					engine, vm = string(m.Endpoint), p.at(trace.last)
					c.strike(engine, vm)
				}
			}
			defer func() {
				if engine != "" {
					c.mend(engine, vm)
				}
			}()
			seed := jaywind.Seed(3)
			answer, err := client.Ask(ctx, router.Question{Model: "heat", Prompt: "fins", Limit: answerTokens, Seed: &seed})
			is.NoErr(err)
			is.Equal(answer.Tokens, standin.Whole("v1", seed, "fins", 0, answerTokens))
			is.True(answer.Longest <= resumeTarget)
			t.Logf("longest gap: %d ms", answer.Longest.Milliseconds())
		})
	}
}
