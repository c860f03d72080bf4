package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"jaywind/platform/standin"
)

const (
	zones          = 3
	streamEvents   = 50 // in a complete stream
	grace          = 4 * time.Second
	drainTime      = 2 * time.Second // in which a draining replica may still get work
	maxMemoryMB    = 200             // limit of a router's resident memory
	maxDescriptors = 1024            // limit of a router's open files
)

// router is the router process of one VM.
type router struct {
	process
	callerAddress, readyAddress, directoryAddress string // host:port
	peerAddress                                   string // host:port for other routers
	metricsURL                                    string
	storeProxy                                    *proxy // carries its connections to the store
	linksAddress                                  string // where its links are cut; empty if they can't be
}

// replica is the process of one endpoint.
type replica struct {
	process
	address     string // behind the proxy
	proxy       *proxy // its address is the registered one
	service     string
	zone        string
	version     string
	failing     bool // answers all requests with an error
	incarnation int
}

// fleet holds all processes of a run.
type fleet struct {
	size         Size
	cutsLinks    bool // the links of routers to replicas can be cut
	binDir       string
	dir          string
	group        conc.WaitGroup
	ports        ports
	store        process
	storeAddress string
	routers      []*router
	replicas     []*replica // engines first
	logFiles     []*os.File
	onEvent      func(standin.RunEvent)

	mu                sync.Mutex
	storeDisturbances []storeDisturbance
	linkCuts          []linkCut
}

// start starts all processes and waits until the routers are ready.
func (f *fleet) start(first standin.Config) error {
	var err error
	if f.storeAddress, err = f.ports.next(); err != nil {
		return err
	}
	f.store = process{name: "store", path: f.binary("standin"), args: []string{"platform", "-listen", f.storeAddress}, log: f.openLog("store")}
	if err := f.store.start(); err != nil {
		return err
	}
	if err := f.waitUntil(func() bool { return f.operator().Configure(first) == nil }); err != nil {
		return fmt.Errorf("store did not start: %w", err)
	}
	for i := range f.size.Engines + f.size.Plain {
		if err := f.addReplica(i); err != nil {
			return err
		}
	}
	for i := range f.size.Routers {
		if err := f.addRouter(i); err != nil {
			return err
		}
	}
	return f.waitUntil(func() bool {
		for _, r := range f.routers {
			if !r.isReady() {
				return false
			}
		}
		return true
	})
}

func (f *fleet) engines() []*replica { return f.replicas[:f.size.Engines] }

func (f *fleet) binary(name string) string { return filepath.Join(f.binDir, name) }

// openLog creates the log file of a process. If that fails its output is discarded.
func (f *fleet) openLog(name string) io.Writer {
	f.mu.Lock()
	defer f.mu.Unlock()
	file, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return io.Discard
	}
	f.logFiles = append(f.logFiles, file)
	return file
}

// startTimeout bounds the start of all processes, on a machine that may be busy with other work.
const startTimeout = 30 * time.Second

func (f *fleet) waitUntil(ok func() bool) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("timed out after %v", startTimeout)
}

// initialVersion is the version of all replicas at the start.
const initialVersion = "v1"

func (f *fleet) addReplica(i int) error {
	service := "desk"
	if i < f.size.Engines {
		service = "pool"
	}
	r, err := f.newReplica(fmt.Sprintf("replica%d", i), service, initialVersion, i, false)
	if err != nil {
		return err
	}
	f.replicas = append(f.replicas, r)
	return nil
}

// newReplica starts a replica in the i-th zone.
func (f *fleet) newReplica(name, service, version string, i int, bad bool) (*replica, error) {
	address, err := f.ports.next()
	if err != nil {
		return nil, err
	}
	r := &replica{address: address, service: service, version: version, failing: bad, zone: fmt.Sprintf("zone%d", i%zones)}
	if r.proxy, err = openProxy(&f.group, address); err != nil {
		return nil, err
	}
	r.name, r.path, r.log, r.readOutput = name, f.binary("standin"), f.openLog(name), f.readEvents
	r.setArguments(f, true)
	return r, r.start()
}

// setArguments sets the arguments of the next incarnation, with a new endpoint id or the previous one.
func (r *replica) setArguments(f *fleet, newID bool) {
	if newID {
		r.incarnation++
	}
	r.args = []string{"replica", "-version", r.version, fmt.Sprintf("-bad=%v", r.failing), "-listen", r.address, "-at", r.proxy.address, "-id", r.id(),
		"-service", r.service, "-zone", r.zone, "-store", f.storeAddress, "-events", fmt.Sprint(streamEvents)}
	r.args = append(r.args, "-crashbody", crashBody)
	if r.service == "pool" {
		r.args = append(r.args, "-engine", "-crash", crashPart)
	}
}

// id returns the endpoint id of the current incarnation.
func (r *replica) id() string { return fmt.Sprintf("i-%s-%d", r.name, r.incarnation) }

func (f *fleet) readEvents(r io.Reader) {
	for lines := bufio.NewScanner(r); lines.Scan(); {
		var s standin.RunEvent
		if json.Unmarshal(lines.Bytes(), &s) == nil { // the last line of a killed replica may be truncated
			f.onEvent(s)
		}
	}
}

const routerSettings = `vm = "vm%d"
domain = "zone%d"
[listen]
caller = "%s"
operator = "%s"
fleet = "%s"
[platform]
store = "%s"
region = "r"
ready = "%s"
directory = "%s"
memory = %d
link = 1000.0
grace = %d
seeds = "%s"
hint = 1
[platform.retry]
share = 0.8
spare = 150
window = 10
[platform.exposure]
share = 0.1
slack = 50
[log]
level = "info"
`

func (f *fleet) addRouter(i int) error {
	r := &router{}
	var err error
	if r.storeProxy, err = openProxy(&f.group, f.storeAddress); err != nil {
		return err
	}
	var operator string
	for _, at := range []*string{&r.callerAddress, &operator, &r.peerAddress, &r.readyAddress, &r.directoryAddress} {
		if *at, err = f.ports.next(); err != nil {
			return err
		}
	}
	seeds := r.peerAddress
	if i > 0 {
		seeds = f.routers[0].peerAddress
	}
	text := fmt.Sprintf(routerSettings, i, i%zones, r.callerAddress, operator, r.peerAddress, r.storeProxy.address, r.readyAddress, r.directoryAddress, maxMemoryMB, grace.Milliseconds(), seeds)
	settings := filepath.Join(f.dir, fmt.Sprintf("vm%d.toml", i))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	r.metricsURL = "http://" + operator + "/metrics"
	r.name, r.path, r.args, r.log = fmt.Sprintf("vm%d", i), f.binary("jaywind"), []string{"route", "-settings", settings}, f.openLog(fmt.Sprintf("vm%d", i))
	if f.cutsLinks {
		if r.linksAddress, err = f.ports.next(); err != nil {
			return err
		}
		r.path, r.args = f.binary("standin"), []string{"router", "-listen", r.linksAddress, "-settings", settings}
	}
	f.routers = append(f.routers, r)
	return r.start()
}

func (r *router) isReady() bool { return standin.Ready(r.readyAddress) }

func (f *fleet) operator() standin.Operator { return standin.Operator(f.storeAddress) }

// disturbStore records that the store, or one router's connection to it, is disturbed until the returned function is called.
func (f *fleet) disturbStore(router *router) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := len(f.storeDisturbances)
	f.storeDisturbances = append(f.storeDisturbances, storeDisturbance{span{from: time.Now()}, router})
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.storeDisturbances[i].until = time.Now()
	}
}

// storeDisturbance is a time in which the store was disturbed, for one router, or for all if router is nil.
type storeDisturbance struct {
	span
	router *router
}

// recoveryMargin is the time after a disturbance in which time bounds are not checked.
const recoveryMargin = 3 * time.Second

// undisturbed reports whether neither the router nor its connection to the store was disturbed between from and until, widened by recoveryMargin.
func (f *fleet) undisturbed(r *router, from, until time.Time) bool {
	if r.disturbed(from, until, recoveryMargin) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(f.storeDisturbances, func(s storeDisturbance) bool {
		return (s.router == nil || s.router == r) && s.overlaps(from, until, recoveryMargin)
	})
}

// cutFromStore reports whether a router's own connection to the store was disturbed between from and until, widened by recoveryMargin.
func (f *fleet) cutFromStore(r *router, from, until time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.storeDisturbances, func(s storeDisturbance) bool { return s.router == r && s.overlaps(from, until, recoveryMargin) })
}

// stop kills all processes and closes their proxies and logs.
func (f *fleet) stop() {
	for _, r := range f.routers {
		r.kill()
		r.storeProxy.close()
	}
	for _, r := range f.replicas {
		r.kill()
		r.proxy.close()
	}
	f.store.kill()
	f.group.Wait()
	for _, file := range f.logFiles {
		_ = file.Close()
	}
}

// heldBack returns the ids of the requests that routers have refused because they crash endpoints.
func (f *fleet) heldBack() (ids []string) {
	for _, l := range f.logLines(`"reason":"the request crashes endpoints"`) {
		_, text, _ := strings.Cut(l, `"request":"`)
		id, _, _ := strings.Cut(text, `"`)
		ids = append(ids, id)
	}
	return ids
}

// logLines returns the routers' log lines that contain a text, such as a request id.
func (f *fleet) logLines(text string) []string {
	var found []string
	for _, r := range f.routers {
		b, err := os.ReadFile(filepath.Join(f.dir, r.name+".log"))
		if err != nil {
			found = append(found, err.Error())
			continue
		}
		for l := range strings.SplitSeq(string(b), "\n") {
			if strings.Contains(l, text) {
				found = append(found, r.name+" "+l)
			}
		}
	}
	return found
}
