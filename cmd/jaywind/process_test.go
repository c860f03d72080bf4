package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"jaywind"
	"jaywind/internal/client/operator"
	"jaywind/internal/client/router"
	"jaywind/internal/standin/engine"
)

const (
	readyLimit  = 10 * time.Second
	forceTarget = 3 * time.Second
)

// processes is a fleet of real processes on loopback.
type processes struct {
	t       *testing.T
	dir     string
	ports   []string // free addresses
	store   string
	engines []string
	routers []*exec.Cmd
	files   []string // settings of the routers
	callers []string
}

func startProcesses(t *testing.T, routers int) *processes {
	t.Helper()
	p := &processes{t: t, dir: t.TempDir()}
	p.freePorts(3*routers + 3)
	p.build("./cmd/jaywind", "./cmd/standin")
	p.store = p.port()
	p.start("standin", "store", "-listen", p.store)
	text := "model heat version=v1 # test\n"
	for i := range 2 {
		at := p.port()
		p.start("standin", "engine", "-listen", at, "-id", fmt.Sprint("e", i), "-gap", "10ms")
		text += fmt.Sprintf("endpoint e%d model=heat version=v1 url=http://%s domain=a # test\n", i, at)
		p.engines = append(p.engines, at)
	}
	p.await(p.store)
	p.startRouters(routers)
	out, code := p.run("apply", "-settings", p.files[0], "-rules", p.file("rules.txt", text))
	if code != exitOK {
		t.Fatalf("apply: exit %d: %s", code, out)
	}
	return p
}

func (p *processes) freePorts(n int) {
	var open []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			p.t.Fatal(err)
		}
		open = append(open, l)
		p.ports = append(p.ports, l.Addr().String())
	}
	for _, l := range open {
		_ = l.Close()
	}
}

func (p *processes) port() string {
	at := p.ports[0]
	p.ports = p.ports[1:]
	return at
}

func (p *processes) build(packages ...string) {
	c := exec.Command("go", append([]string{"build", "-o", p.dir + "/"}, packages...)...)
	c.Dir = filepath.Join("..", "..")
	if out, err := c.CombinedOutput(); err != nil {
		p.t.Fatalf("build: %v: %s", err, out)
	}
}

// start runs a program until the test ends.
func (p *processes) start(program string, args ...string) *exec.Cmd {
	c := exec.Command(filepath.Join(p.dir, program), args...)
	log, err := os.Create(filepath.Join(p.dir, fmt.Sprintf("log%d", len(p.ports))))
	if err != nil {
		p.t.Fatal(err)
	}
	c.Stdout = log
	c.Stderr = log
	if err := c.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
		p.showLog(log)
	})
	return c
}

// showLog prints the end of a program's log when the test has failed.
func (p *processes) showLog(log *os.File) {
	defer func() { _ = log.Close() }()
	text, err := os.ReadFile(log.Name())
	if p.t.Failed() && err == nil {
		p.t.Logf("%s: %s", log.Name(), text[max(0, len(text)-logTail):])
	}
}

const logTail = 3000 // bytes

func (p *processes) startRouters(n int) {
	var seeds []string
	for range n {
		p.callers = append(p.callers, p.port())
		seeds = append(seeds, p.port())
	}
	for i := range n {
		operatorAt := p.port()
		text := fmt.Sprintf("vm = \"vm%d\"\ndomain = \"%c\"\nsecret = \"%s\"\n[listen]\ncaller = %q\noperator = %q\nfleet = %q\n[store]\nurl = \"http://%s\"\n[fleet]\nseeds = [\"http://%s\"]\n",
			i, 'a'+i, testSecret, p.callers[i], operatorAt, seeds[i], p.store, strings.Join(seeds, "\", \"http://"))
		file := p.file(fmt.Sprintf("vm%d.toml", i), text)
		c := p.start("jaywind", "route", "-settings", file)
		p.files = append(p.files, file)
		p.routers = append(p.routers, c)
	}
	for i := range n {
		p.await(p.callers[i])
	}
}

const testSecret = "secret-of-the-process-tests"

func (p *processes) file(name, text string) string {
	path := filepath.Join(p.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	return path
}

func (p *processes) await(at string) {
	eventually(p.t, readyLimit, at+" listens", func() bool {
		c, err := net.DialTimeout("tcp", at, time.Second)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})
}

// run runs a subcommand to its end.
func (p *processes) run(args ...string) (string, int) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	c := exec.CommandContext(ctx, filepath.Join(p.dir, "jaywind"), args...)
	out, _ := c.CombinedOutput()
	return string(out), c.ProcessState.ExitCode()
}

func (p *processes) status(i int) operator.Status {
	s, err := loadSettings(p.files[i])
	if err != nil {
		p.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	got, _ := newOperator(s, "").Status(ctx)
	return got
}

func (p *processes) setStore(faults string) {
	response, err := http.Post("http://"+p.store+"/faults", "application/json", strings.NewReader(faults))
	if err != nil {
		p.t.Fatal(err)
	}
	_ = response.Body.Close()
}

// inForce tells whether all routers have a version in force.
func (p *processes) inForce(version uint64) func() bool {
	return func() bool {
		for i := range p.routers {
			if p.status(i).Rules != version {
				return false
			}
		}
		return true
	}
}

func eventually(t *testing.T, limit time.Duration, what string, done func() bool) {
	t.Helper()
	end := time.Now().Add(limit)
	for !done() {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func TestTwoOperatorsAtOnceThroughAStoreOutage(t *testing.T) {
	is := is.New(t)
	p := startProcesses(t, 3)
	eventually(t, readyLimit, "three routers know each other", func() bool { return p.status(0).Live == 3 })
	eventually(t, forceTarget, "version 1 in force", p.inForce(1))

	p.setStore(`{"down":true}`)
	base, code := p.run("rules", "-settings", p.files[1]) // read back while the store is down
	is.Equal(code, exitOK)
	is.True(strings.HasPrefix(base, "# rules version 1\n"))
	out, code := p.run("apply", "-settings", p.files[0], "-rules", p.file("down.txt", base+"organisation lost rate=1 # nobody\n"))
	is.Equal(code, exitFault)
	is.True(strings.Contains(out, "not applied"))
	p.setStore(`{}`)

	var group conc.WaitGroup
	outs := make([]string, 2)
	codes := make([]int, 2)
	for i, name := range []string{"lagos", "puebla"} {
		file := p.file(name+".txt", base+"organisation "+name+" rate=5 # "+name+" desk\n")
		group.Go(func() { outs[i], codes[i] = p.run("apply", "-settings", p.files[i], "-rules", file) })
	}
	group.Wait()
	winner := 0
	if codes[0] != exitOK {
		winner = 1
	}
	t.Logf("winner: %s\nloser: %s", outs[winner], outs[1-winner])
	is.Equal(codes[winner], exitOK)
	is.Equal(codes[1-winner], exitFault)
	is.True(strings.Contains(outs[winner], "in force on 3 of 3 routers"))
	name := []string{"lagos", "puebla"}[winner]
	is.True(strings.Contains(outs[1-winner], "+ organisation "+name+" rate=5")) // the other's edit is shown
	eventually(t, forceTarget, "version 2 in force", p.inForce(2))
}

func TestStopInMidAnswerCutsNothing(t *testing.T) {
	tests := map[string]struct{ store string }{
		"store answers": {store: `{}`},
		"store is down": {store: `{"down":true}`},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := startProcesses(t, 3)
			eventually(t, readyLimit, "three routers know each other", func() bool { return p.status(0).Live == 3 })
			eventually(t, forceTarget, "version 1 in force", p.inForce(1))
			p.setStore(c.store)
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			begun := make(chan struct{})
			var once sync.Once
			// The client is given no other entry, and its connection must not break.
			client := &router.Client{Entries: []jaywind.Address{jaywind.Address("http://" + p.callers[0])}, Transport: &oneEntry{}}
			client.OnToken = func(jaywind.Token, jaywind.Bookmark) { once.Do(func() { close(begun) }) }
			var answer *router.Answer
			var err error
			var group conc.WaitGroup
			seed := jaywind.Seed(5)
			group.Go(func() {
				answer, err = client.Ask(ctx, router.Question{Model: "heat", Prompt: "fins", Limit: 500, Seed: &seed})
			})
			<-begun
			is.NoErr(p.routers[0].Process.Signal(syscall.SIGTERM))
			eventually(t, forceTarget, "readyz is 503", func() bool { return p.get(0, "/readyz") == http.StatusServiceUnavailable })
			body, status, retry := p.post(0)
			is.Equal(status, http.StatusServiceUnavailable)
			is.True(strings.Contains(body, `"run":false`))
			is.True(strings.Contains(body, `"entry":"http://`) && !strings.Contains(body, p.callers[0]))
			is.True(retry != "")
			eventually(t, forceTarget, "off the entries of the others", func() bool {
				list, err := (&router.Client{}).List(ctx, jaywind.Address("http://"+p.callers[1]), "lagos")
				return err == nil && len(list.Entries) == 2
			})
			group.Wait()
			is.NoErr(err)
			is.Equal(answer.Tokens, engine.Whole("v1", 5, "fins", 0, 500))
			is.Equal(answer.Resumed, 0)
			is.NoErr(p.routers[0].Wait()) // exits by itself, code 0
		})
	}
}

// oneEntry hides the list of entries, so that a client has nowhere else to go.
type oneEntry struct{}

func (oneEntry) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path == "/v1/entries" {
		return nil, http.ErrNotSupported
	}
	return http.DefaultTransport.RoundTrip(r)
}

func (p *processes) get(i int, path string) int {
	response, err := http.Get("http://" + p.callers[i] + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (p *processes) post(i int) (body string, status int, retry string) {
	response, err := http.Post("http://"+p.callers[i]+"/v1/completions", "application/json", strings.NewReader(`{"model":"heat","prompt":"x","max_tokens":5}`))
	if err != nil {
		return err.Error(), 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	var text bytes.Buffer
	_, _ = text.ReadFrom(response.Body)
	return text.String(), response.StatusCode, response.Header.Get("Retry-After")
}
