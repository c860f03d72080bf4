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
	moveBudget           = 60 // requests that may start on the new version before it is known to be good
	moveCallers          = 12
	moveTokens           = 10
	movePollInterval     = 50 * time.Millisecond
	drainTime            = 2 * time.Second  // from the end of a move until the version that is given up receives no more requests
	observeTime          = 5 * time.Second  // how long the engines are checked for such requests
	failoverTimeout      = 25 * time.Second // for the lease to expire, the next attempt to acquire it, the order and the load
	maxUnprovenShare     = 0.1              // of the traffic, the highest that a step takes before the version is known to be good
	firstStepPassedShare = 0.05             // of the traffic; a move with at least this share is past its first step
)

// moveFleet is a fleet with three engines of each of two versions, and callers that send requests all the time.
type moveFleet struct {
	*fleet
	deadline time.Time
	group    conc.WaitGroup
	cancel   context.CancelFunc
	requests atomic.Int64
	complete atomic.Int64
}

// startMoveFleet starts all processes except the engine leftOut, if any, and applies rules with the move.
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

// engineIDs returns the ids of the engines of a version.
func engineIDs(version string) []string {
	var ids []string
	for i := range fleetSize {
		ids = append(ids, fmt.Sprint(version, "e", i+1))
	}
	return ids
}

// startVersionEngine starts an engine. Those of the new version start without weights and load them when ordered to.
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

// startCallers starts callers, each of its own organisation, that send one request after the other.
func (m *moveFleet) startCallers() {
	var entries []jaywind.Address
	for i := range fleetSize {
		entries = append(entries, jaywind.Address("http://"+m.address(fmt.Sprint("vm", i+1, ".caller"))))
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	for w := range moveCallers {
		ordered := slices.Concat(entries[w%fleetSize:], entries[:w%fleetSize])
		organisation := jaywind.Organisation(fmt.Sprint("desk", w)) // spreads the home routers
		m.group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				m.generate(ordered, organisation, fmt.Sprint("board ", w, " ", n))
			}
		})
	}
	m.t.Cleanup(func() {
		cancel()
		m.group.Wait()
	})
}

// generate sends a request and compares the answer with the tokens that the version of its engine must give.
func (m *moveFleet) generate(entries []jaywind.Address, organisation jaywind.Organisation, prompt string) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	m.requests.Add(1)
	seed := jaywind.Seed(7)
	client := &router.Client{Entries: entries}
	answer, err := client.Generate(ctx, router.Request{Organisation: organisation, Model: "heat", Prompt: prompt, MaxTokens: moveTokens, Seed: &seed})
	if err != nil {
		m.t.Logf("request %q: %v", prompt, err)
		return
	}
	version := jaywind.Version(answer.Bookmark.Endpoint[:2])
	if slices.Equal(answer.Tokens, standin.Tokens(version, seed, prompt, 0, moveTokens)) {
		m.complete.Add(1)
	}
}

// stopCallers stops the callers, waits for their last answers and returns the totals.
func (m *moveFleet) stopCallers() (complete, total int64) {
	m.cancel()
	m.group.Wait()
	return m.complete.Load(), m.requests.Load()
}

// completions returns how many requests the engines of a version have received, including failed ones.
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

// hasLoaded reports whether an engine has a version loaded.
func (m *moveFleet) hasLoaded(id, version string) bool {
	var l struct {
		Loaded []string `json:"loaded"`
	}
	m.readJSON(id, "/v1/load", &l)
	return slices.Contains(l.Loaded, version)
}

// readJSON fetches JSON from a process. It leaves v as it is if the process does not answer.
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

// move returns the status of the move at a router, the zero value if the router does not answer.
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

// awaitState waits until one of the routers reports a state, and fails the test at the move's deadline.
func (m *moveFleet) awaitState(state string, vms ...string) {
	m.t.Helper()
	var row operator.Move
	for time.Now().Before(m.deadline) {
		for _, vm := range vms {
			if row = m.move(vm); row.State == state {
				m.t.Logf("%s reports %q %v before the move's deadline: %s", vm, state, time.Until(m.deadline).Round(time.Millisecond), row.Reason)
				return
			}
		}
		time.Sleep(movePollInterval)
	}
	m.t.Fatalf("the move is %q at its deadline, want %q: %+v", row.State, state, row)
}

// leader returns the router that holds the leader lease, or "" if there is none.
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

// TestMoveOfProcesses moves a fleet of processes from one version to another under load. It guards against lost answers,
// a bad version that gets more than a small share of the traffic, and a move that does not survive its leader.
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
		is.Equal(m.completions("v1"), before) // the old version receives no more requests
		complete, total := m.stopCallers()
		is.Equal(complete, total)
		t.Logf("%d of %d answers complete, %d requests reached the new version", complete, total, m.completions("v2"))
	})
	t.Run("half of the new version's work fails", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		m := startMoveFleet(t, "")
		for _, id := range engineIDs("v2") {
			m.setFaults(m.address(id), `{"error":0.5}`)
		}
		m.awaitState("taken back", all...)
		atRollback, total := m.completions("v2"), m.requests.Load()
		is.True(atRollback > 0)
		is.True(float64(atRollback) <= maxUnprovenShare*float64(total))
		for _, vm := range all {
			m.awaitState("taken back", vm)
		}
		is.True(time.Until(m.deadline) > moveDuration/4) // rolled back on evidence, not at the deadline
		time.Sleep(drainTime)
		afterDrain := m.completions("v2")
		time.Sleep(observeTime)
		is.Equal(m.completions("v2"), afterDrain) // no more requests soon after the rollback
		t.Logf("%d of %d requests reached the bad version before the rollback, %d in the %v after it, %d in the next %v",
			atRollback, total, afterDrain-atRollback, drainTime, m.completions("v2")-afterDrain, observeTime)
		complete, all := m.stopCallers()
		is.Equal(complete, all)
		t.Logf("%d of %d answers complete", complete, all)
	})
	t.Run("leader is killed in mid-move", func(t *testing.T) {
		t.Parallel()
		is := is.New(t)
		lateEngine := engineIDs("v2")[fleetSize-1]
		m := startMoveFleet(t, lateEngine)
		eventually(t, moveDuration/2, "the move is past its first step", func() bool { return m.move("vm1").Share >= firstStepPassedShare })
		killed := m.leader()
		is.True(slices.Contains(all, killed))
		m.kill(killed)
		killedAt := time.Now()
		m.startVersionEngine(lateEngine) // without weights, so that it needs an order from the new leader
		remaining := slices.DeleteFunc(slices.Clone(all), func(vm string) bool { return vm == killed })
		eventually(t, failoverTimeout, "the new leader's order is carried out", func() bool { return m.hasLoaded(lateEngine, "v2") })
		t.Logf("%s was killed, %s gave the order after %v", killed, m.leader(), time.Since(killedAt).Round(time.Millisecond))
		is.True(slices.Contains(remaining, m.leader()))
		for _, vm := range remaining {
			m.awaitState("done", vm)
		}
		complete, total := m.stopCallers()
		is.Equal(complete, total)
		t.Logf("%d of %d answers complete, %d requests reached the new version", complete, total, m.completions("v2"))
	})
}
