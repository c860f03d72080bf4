package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
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
	fleetSize     = 3
	answerTokens  = 150
	faultPosition = 50 // tokens
	tokenGap      = 10 * time.Millisecond
	resumeTarget  = 4 * time.Second
)

// fleet runs a store, engines and routers as processes that are killed and restarted by name.
type fleet struct {
	*processes
	addresses     map[string]string // by process name
	running       map[string]*exec.Cmd
	extraSettings string // appended to the routers' settings
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{processes: &processes{t: t, dir: t.TempDir()}, addresses: map[string]string{}, running: map[string]*exec.Cmd{}}
	f.reservePorts(4*fleetSize + 1)
	f.build("./cmd/jaywind", "./cmd/standin")
	f.running["store"] = f.start("standin", "store", "-listen", f.address("store"))
	for i := range fleetSize {
		f.startEngine(fmt.Sprint("e", i+1))
	}
	for i := range fleetSize {
		f.startRouter(fmt.Sprint("vm", i+1))
	}
	return f
}

// address returns the address of a process, and picks a free one on first use.
func (f *fleet) address(name string) string {
	if f.addresses[name] == "" {
		f.addresses[name] = f.takePort()
	}
	return f.addresses[name]
}

func (f *fleet) startEngine(id string) {
	f.running[id] = f.start("standin", "engine", "-listen", f.address(id), "-id", id, "-gap", tokenGap.String(), "-keep", "2s")
}

func (f *fleet) startRouter(vm string) {
	var seeds, entries []string
	for i := range fleetSize {
		seeds = append(seeds, fmt.Sprintf("%q", "http://"+f.address(fmt.Sprint("vm", i+1, ".fleet"))))
		entries = append(entries, fmt.Sprintf("%q", "http://"+f.address(fmt.Sprint("vm", i+1, ".caller"))))
	}
	text := fmt.Sprintf("vm = %q\ndomain = %q\nsecret = %q\n", vm, "d"+vm, testSecret)
	text += fmt.Sprintf("[listen]\ncaller = %q\noperator = %q\nfleet = %q\n", f.address(vm+".caller"), f.address(vm+".operator"), f.address(vm+".fleet"))
	text += fmt.Sprintf("[store]\nurl = \"http://%s\"\n", f.address("store"))
	text += fmt.Sprintf("[fleet]\nseeds = [%s]\nentries = [%s]\n", strings.Join(seeds, ","), strings.Join(entries, ","))
	text += f.extraSettings
	f.running[vm] = f.start("jaywind", "route", "-settings", f.file(vm+".toml", text))
}

// apply applies the rules and waits until all routers are ready.
func (f *fleet) apply() {
	text := "model heat version=v1 # test\n"
	for i := range fleetSize {
		id := fmt.Sprint("e", i+1)
		text += fmt.Sprintf("endpoint %s model=heat version=v1 url=http://%s domain=d%d # test\n", id, f.address(id), i+1)
	}
	f.await(f.address("vm1.caller"))
	if out, code := f.run("apply", "-settings", filepath.Join(f.dir, "vm1.toml"), "-rules", f.file("rules.txt", text)); code != exitOK {
		f.t.Fatalf("apply: exit %d: %s", code, out)
	}
	f.waitReady()
}

func (f *fleet) waitReady() {
	client := &http.Client{Timeout: time.Second}
	for i := range fleetSize {
		url := "http://" + f.address(fmt.Sprint("vm", i+1, ".caller")) + "/readyz"
		eventually(f.t, readyTimeout, url, func() bool {
			response, err := client.Get(url)
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode < http.StatusMultipleChoices
		})
	}
}

func (f *fleet) signal(name string, s syscall.Signal) {
	_ = f.running[name].Process.Signal(s)
}

func (f *fleet) kill(name string) {
	_ = f.running[name].Process.Kill()
	_ = f.running[name].Wait()
}

// processAt returns the name of the process that listens on an address.
func (f *fleet) processAt(address string) string {
	for name, a := range f.addresses {
		if a == address {
			return strings.TrimSuffix(name, ".caller")
		}
	}
	return ""
}

// tracingTransport records the host of the last POST request.
type tracingTransport struct{ lastHost string }

// noKeepAliveTransport opens a connection for each request, so that no request goes to a dead router over a kept one.
var noKeepAliveTransport = &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}

func (t *tracingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Method == http.MethodPost {
		t.lastHost = r.URL.Host
	}
	return noKeepAliveTransport.RoundTrip(r)
}

// TestAnswerSurvivesProcesses guards against lost or repeated tokens when the engine or the router of an answer is killed
// or stopped after part of the answer was sent. All parts run as separate processes.
func TestAnswerSurvivesProcesses(t *testing.T) {
	f := newFleet(t)
	f.apply()
	tests := map[string]struct {
		inject func(engine, vm string)
		repair func(engine, vm string)
	}{
		"engine is killed": {
			inject: func(engine, _ string) { f.kill(engine) },
			repair: func(engine, _ string) { f.startEngine(engine); f.await(f.address(engine)) },
		},
		"engine is stopped": {
			inject: func(engine, _ string) { f.signal(engine, syscall.SIGSTOP) },
			repair: func(engine, _ string) { f.signal(engine, syscall.SIGCONT) },
		},
		"router is killed": {
			inject: func(_, vm string) { f.kill(vm) },
			repair: func(_, vm string) { f.startRouter(vm); f.waitReady() },
		},
		"router is stopped": {
			inject: func(_, vm string) { f.signal(vm, syscall.SIGSTOP) },
			repair: func(_, vm string) { f.signal(vm, syscall.SIGCONT); f.waitReady() },
		},
		"router and engine are killed": {
			inject: func(engine, vm string) { f.kill(vm); f.kill(engine) },
			repair: func(engine, vm string) { f.startEngine(engine); f.startRouter(vm); f.waitReady() },
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
			defer cancel()
			trace := &tracingTransport{}
			client := &router.Client{Transport: trace}
			for i := range fleetSize {
				client.Entries = append(client.Entries, jaywind.Address("http://"+f.address(fmt.Sprint("vm", i+1, ".caller"))))
			}
			var engine, vm string
			client.OnToken = func(_ jaywind.Token, m jaywind.Bookmark) {
				if m.Position == faultPosition {
					engine, vm = string(m.Endpoint), f.processAt(trace.lastHost)
					c.inject(engine, vm)
				}
			}
			defer func() {
				if engine != "" {
					c.repair(engine, vm)
				}
			}()
			seed := jaywind.Seed(3)
			answer, err := client.Generate(ctx, router.Request{Model: "heat", Prompt: "fins", MaxTokens: answerTokens, Seed: &seed})
			is.NoErr(err)
			is.Equal(answer.Tokens, standin.Tokens("v1", seed, "fins", 0, answerTokens))
			is.True(answer.MaxGap <= resumeTarget)
			t.Logf("longest gap: %d ms", answer.MaxGap.Milliseconds())
		})
	}
}
