package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"jaywind"
	"jaywind/internal/client/operator"
	"jaywind/internal/client/router"
	standin "jaywind/internal/standin/engine"
)

const (
	moveDuration         = 45 * time.Second
	moveBudget           = 60 // requests that may start on the new version before there is proof
	moveCallers          = 12
	moveTokens           = 10
	movePollInterval     = 50 * time.Millisecond
	drainTime            = 2 * time.Second  // from the end of a move, until the loser receives nothing
	observeTime          = 5 * time.Second  // how long that is watched
	failoverTimeout      = 25 * time.Second // for the lease to run out, a try for it, the order and the load
	maxUnprovenShare     = 0.1              // of the traffic, the most that a step before proof takes
	firstStepPassedShare = 0.05             // of the traffic, from which on a move is past its first step
)

// moving is a fleet with three engines of each of two versions, and callers at work.
type moveFleet struct {
	*fleet
	deadline time.Time
	group    conc.WaitGroup
	cancel   context.CancelFunc
	requests atomic.Int64
	complete atomic.Int64
}

// startMoving starts all processes but one engine that may be left out, and puts the move in force.
func startMoveFleet(t *testing.T, leftOut string) *moveFleet {
	f := &fleet{processes: &processes{t: t, dir: t.TempDir()}, addresses: map[string]string{}, running: map[string]*exec.Cmd{}}
	f.reservePorts(5*fleetSize + 3)
	f.build("./cmd/jaywind", "./cmd/standin")
	for _, kind := range []string{"store", "vms", "weights"} {
		f.running[kind] = f.start("standin", kind, "-listen", f.address(kind))
	}
	f.extraSettings = fmt.Sprintf("[directory]\nurl = \"http://%s\"\n[weights]\nurl = \"http://%s\"\n", f.address("vms"), f.address("weights"))
	m := &moveFleet{fleet: f}
	for _, v := range []string{"v1", "v2"} {
		for _, id := range engineIDs(v) {
			if id != leftOut {
				m.startVersionEngine(id)
			}
		}
	}
	for i := range fleetSize {
		f.startRouter(fmt.Sprint("vm", i+1))
	}
	m.applyMove()
	m.startCallers()
	return m
}

// enginesOf names the engines of a version.
func engineIDs(version string) []string {
	var ids []string
	for i := range fleetSize {
		ids = append(ids, fmt.Sprint(version, "e", i+1))
	}
	return ids
}

// startVersion starts an engine; those of the new version hold no weights until they are told to load them.
func (m *moveFleet) startVersionEngine(id string) {
	version := id[:2]
	args := []string{"engine", "-listen", m.address(id), "-id", id, "-version", version, "-gap", tokenGap.String(), "-load", "500ms"}
	if version == "v2" {
		args = append(args, "-empty")
	}
	m.running[id] = m.start("standin", args...)
}

func (m *moveFleet) applyMove() {
	m.deadline = time.Now().Add(moveDuration).Truncate(time.Second)
	text := "model heat version=v1 # test\n"
	text += fmt.Sprintf("move heat from=v1 to=v2 by=%s budget=%d # test\n", m.deadline.UTC().Format(time.RFC3339), moveBudget)
	for _, v := range []string{"v1", "v2"} {
		for i, id := range engineIDs(v) {
			text += fmt.Sprintf("endpoint %s model=heat version=%s url=http://%s domain=d%d fenced=yes # test\n", id, v, m.address(id), i+1)
		}
	}
	for i := range fleetSize {
		m.await(m.address(fmt.Sprint("vm", i+1, ".caller")))
	}
	out, code := m.run("apply", "-settings", filepath.Join(m.dir, "vm1.toml"), "-rules", m.file("rules.txt", text))
	if code != exitOK {
		m.t.Fatalf("apply: exit %d: %s", code, out)
	}
	m.waitReady()
}

// startCallers starts workers, each of its own organisation, that ask one question after the other.
func (m *moveFleet) startCallers() {
	var entries []jaywind.Address
	for i := range fleetSize {
		entries = append(entries, jaywind.Address("http://"+m.address(fmt.Sprint("vm", i+1, ".caller"))))
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	for w := range moveCallers {
		own := slices.Concat(entries[w%fleetSize:], entries[:w%fleetSize])
		organisation := jaywind.Organisation(fmt.Sprint("desk", w)) // so that their homes are spread over the routers
		m.group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				m.generate(own, organisation, fmt.Sprint("board ", w, " ", n))
			}
		})
	}
	m.t.Cleanup(func() {
		cancel()
		m.group.Wait()
	})
}

// ask asks one question to its end and checks the answer token by token against the version that gave it.
func (m *moveFleet) generate(entries []jaywind.Address, organisation jaywind.Organisation, prompt string) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	m.requests.Add(1)
	seed := jaywind.Seed(7)
	client := &router.Client{Entries: entries}
	answer, err := client.Ask(ctx, router.Question{Organisation: organisation, Model: "heat", Prompt: prompt, Limit: moveTokens, Seed: &seed})
	if err != nil {
		m.t.Logf("question %q: %v", prompt, err)
		return
	}
	version := jaywind.Version(answer.Mark.Endpoint[:2])
	if slices.Equal(answer.Tokens, standin.Whole(version, seed, prompt, 0, moveTokens)) {
		m.complete.Add(1)
	}
}

// finish stops the callers after their last answers.
func (m *moveFleet) stopCallers() (whole, asked int64) {
	m.cancel()
	m.group.Wait()
	return m.complete.Load(), m.requests.Load()
}

// reach returns how many completions the engines of a version were asked for, failed ones included.
func (m *moveFleet) completions(version string) int {
	total := 0
	for _, id := range engineIDs(version) {
		var c struct {
			Asked int `json:"asked"`
		}
		m.readJSON(id, "/counts", &c)
		total += c.Asked
	}
	return total
}

// holds tells whether an engine reports a version as loaded.
func (m *moveFleet) hasLoaded(id, version string) bool {
	var l struct {
		Loaded []string `json:"loaded"`
	}
	m.readJSON(id, "/v1/load", &l)
	return slices.Contains(l.Loaded, version)
}

// read fetches JSON; nothing is read from a process that does not answer.
func (m *moveFleet) readJSON(name, path string, v any) {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.address(name) + path)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(v); err != nil {
		m.t.Errorf("%s%s: %v", name, path, err)
	}
}

// move returns the row of the move at a router, an empty one if the router does not answer.
func (m *moveFleet) move(vm string) operator.Move {
	c := operator.Client{URL: jaywind.Address("http://" + m.address(vm+".operator")), Secret: testSecret}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	s, err := c.Status(ctx)
	if err != nil || len(s.Moves) != 1 {
		return operator.Move{}
	}
	return s.Moves[0]
}

// awaitState waits until one of the routers reports a state; the test fails after the move's time.
func (m *moveFleet) awaitState(state string, vms ...string) {
	m.t.Helper()
	var row operator.Move
	for time.Now().Before(m.deadline) {
		for _, vm := range vms {
			if row = m.move(vm); row.State == state {
				m.t.Logf("%s reports %q %v before the move's time: %s", vm, state, time.Until(m.deadline).Round(time.Millisecond), row.Reason)
				return
			}
		}
		time.Sleep(movePollInterval)
	}
	m.t.Fatalf("the move is %q by its time, want %q: %+v", row.State, state, row)
}

// leader returns the router that holds the lease for orders, "" for none.
func (m *moveFleet) leader() string {
	response, err := http.Get("http://" + m.address("store") + "/kv/leader")
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return ""
	}
	var vm string
	_, _ = fmt.Fscan(response.Body, &vm)
	return vm
}

// TestMoveOfProcesses moves real processes from one version to another under load.
func TestMoveOfProcesses(t *testing.T) {
	all := []string{"vm1", "vm2", "vm3"}
	t.Run("good version", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		m := startMoveFleet(t, "")
		m.awaitState("done", all...)
		for _, vm := range all {
			m.awaitState("done", vm)
		}
		time.Sleep(drainTime)
		before := m.completions("v1")
		time.Sleep(observeTime)
		is.Equal(m.completions("v1"), before) // the old version receives nothing any more
		whole, asked := m.stopCallers()
		is.Equal(whole, asked)
		t.Logf("%d of %d answers whole, %d reached the new version", whole, asked, m.completions("v2"))
	})
	t.Run("half of the new version's work fails", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		m := startMoveFleet(t, "")
		for _, id := range engineIDs("v2") {
			m.setFaults(m.address(id), `{"error":0.5}`)
		}
		m.awaitState("taken back", all...)
		verdict, asked := m.completions("v2"), m.requests.Load()
		is.True(verdict > 0)
		is.True(float64(verdict) <= maxUnprovenShare*float64(asked))
		for _, vm := range all {
			m.awaitState("taken back", vm)
		}
		is.True(time.Until(m.deadline) > moveDuration/4) // a verdict, not the end of its time
		time.Sleep(drainTime)
		soon := m.completions("v2")
		time.Sleep(observeTime)
		is.Equal(m.completions("v2"), soon) // none soon after it has shown itself bad
		t.Logf("%d of %d questions reached the bad version before the verdict, %d in %v after it, %d in the next %v",
			verdict, asked, soon-verdict, drainTime, m.completions("v2")-soon, observeTime)
		whole, all := m.stopCallers()
		is.Equal(whole, all)
		t.Logf("%d of %d answers whole", whole, all)
	})
	t.Run("leader is killed in mid-move", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		late := engineIDs("v2")[fleetSize-1]
		m := startMoveFleet(t, late)
		eventually(t, moveDuration/2, "the move is past its first step", func() bool { return m.move("vm1").Share >= firstStepPassedShare })
		killed := m.leader()
		is.True(slices.Contains(all, killed))
		m.kill(killed)
		struck := time.Now()
		m.startVersionEngine(late) // empty, so that it needs an order of the successor
		left := slices.DeleteFunc(slices.Clone(all), func(vm string) bool { return vm == killed })
		eventually(t, failoverTimeout, "the successor's order is carried out", func() bool { return m.hasLoaded(late, "v2") })
		t.Logf("%s was killed, %s gave the order after %v", killed, m.leader(), time.Since(struck).Round(time.Millisecond))
		is.True(slices.Contains(left, m.leader()))
		for _, vm := range left {
			m.awaitState("done", vm)
		}
		whole, asked := m.stopCallers()
		is.Equal(whole, asked)
		t.Logf("%d of %d answers whole, %d reached the new version", whole, asked, m.completions("v2"))
	})
}
