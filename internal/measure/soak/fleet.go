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
	zones     = 3
	events    = 50 // of a whole stream
	grace     = 4 * time.Second
	drainTime = 2 * time.Second // in which a replica that leaves may still get work
	memoryMB  = 200             // that a router may take
	maxFiles  = 1024            // descriptors of a router
)

// router is one VM's process.
type router struct {
	process
	caller, ready, directory string // addresses
	peers                    string // address for other routers
	metrics                  string // URL
	store                    *gate  // its way to the store
}

// replica is one endpoint's process.
type replica struct {
	process
	address string // behind the gate
	gate    *gate  // whose address is registered
	service string
	zone    string
	version string
	bad     bool // it fails all requests
	starts  int
}

// fleet is everything that runs.
type fleet struct {
	size     Size
	bin      string
	keep     string
	group    conc.WaitGroup
	ports    ports
	store    process
	storeAt  string
	routers  []*router
	replicas []*replica // engines first
	files    []*os.File
	sight    func(standin.Sight)

	mu     sync.Mutex
	shaken []shaken
}

// start starts all processes and waits until the routers are ready.
func (f *fleet) start(first standin.Config) error {
	var err error
	if f.storeAt, err = f.ports.take(); err != nil {
		return err
	}
	f.store = process{name: "store", bin: f.program("standin"), args: []string{"platform", "-listen", f.storeAt}, log: f.file("store")}
	if err := f.store.start(); err != nil {
		return err
	}
	if err := f.until(func() bool { return f.operator().Configure(first) == nil }); err != nil {
		return fmt.Errorf("the store does not start: %w", err)
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
	return f.until(func() bool {
		for _, r := range f.routers {
			if !r.isReady() {
				return false
			}
		}
		return true
	})
}

func (f *fleet) program(name string) string { return filepath.Join(f.bin, name) }

// file opens the log of a process; without one its lines go nowhere.
func (f *fleet) file(name string) io.Writer {
	f.mu.Lock()
	defer f.mu.Unlock()
	file, err := os.Create(filepath.Join(f.keep, name+".log"))
	if err != nil {
		return io.Discard
	}
	f.files = append(f.files, file)
	return file
}

// startLimit is for all processes to serve, on a machine that does other work as well.
const startLimit = 30 * time.Second

func (f *fleet) until(ok func() bool) error {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("not within %v", startLimit)
}

// firstVersion is what all replicas run at the start.
const firstVersion = "v1"

func (f *fleet) addReplica(i int) error {
	service := "desk"
	if i < f.size.Engines {
		service = "pool"
	}
	r, err := f.newReplica(fmt.Sprintf("replica%d", i), service, firstVersion, i, false)
	if err != nil {
		return err
	}
	f.replicas = append(f.replicas, r)
	return nil
}

// newReplica starts a replica in the i-th zone.
func (f *fleet) newReplica(name, service, version string, i int, bad bool) (*replica, error) {
	at, err := f.ports.take()
	if err != nil {
		return nil, err
	}
	r := &replica{address: at, service: service, version: version, bad: bad, zone: fmt.Sprintf("zone%d", i%zones)}
	if r.gate, err = openGate(&f.group, at); err != nil {
		return nil, err
	}
	r.name, r.bin, r.log, r.read = name, f.program("standin"), f.file(name), f.readSights
	r.renew(f, true)
	return r, r.start()
}

// renew sets the arguments of the next incarnation, under a new id or that of the last one.
func (r *replica) renew(f *fleet, newID bool) {
	if newID {
		r.starts++
	}
	r.args = []string{"replica", "-version", r.version, fmt.Sprintf("-bad=%v", r.bad), "-listen", r.address, "-at", r.gate.at, "-id", fmt.Sprintf("i-%s-%d", r.name, r.starts),
		"-service", r.service, "-zone", r.zone, "-store", f.storeAt, "-events", fmt.Sprint(events)}
	if r.service == "pool" {
		r.args = append(r.args, "-engine")
	}
}

func (f *fleet) readSights(r io.Reader) {
	for lines := bufio.NewScanner(r); lines.Scan(); {
		var s standin.Sight
		if json.Unmarshal(lines.Bytes(), &s) == nil { // the last line of a replica that was killed may be cut
			f.sight(s)
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
	if r.store, err = openGate(&f.group, f.storeAt); err != nil {
		return err
	}
	var operator string
	for _, at := range []*string{&r.caller, &operator, &r.peers, &r.ready, &r.directory} {
		if *at, err = f.ports.take(); err != nil {
			return err
		}
	}
	seeds := r.peers
	if i > 0 {
		seeds = f.routers[0].peers
	}
	text := fmt.Sprintf(routerSettings, i, i%zones, r.caller, operator, r.peers, r.store.at, r.ready, r.directory, memoryMB, grace.Milliseconds(), seeds)
	settings := filepath.Join(f.keep, fmt.Sprintf("vm%d.toml", i))
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return err
	}
	r.metrics = "http://" + operator + "/metrics"
	r.name, r.bin, r.args, r.log = fmt.Sprintf("vm%d", i), f.program("jaywind"), []string{"route", "-settings", settings}, f.file(fmt.Sprintf("vm%d", i))
	f.routers = append(f.routers, r)
	return r.start()
}

func (r *router) isReady() bool { return standin.Ready(r.ready) }

func (f *fleet) operator() standin.Operator { return standin.Operator(f.storeAt) }

// shakeStore notes that the store, or the way of one router to it, is disturbed until the returned function is called.
func (f *fleet) shakeStore(only *router) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := len(f.shaken)
	f.shaken = append(f.shaken, shaken{span{from: time.Now()}, only})
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.shaken[i].till = time.Now()
	}
}

// shaken is a time in which the store was disturbed, for one router or for all when that is nil.
type shaken struct {
	span
	only *router
}

// contact is how long after a disturbance the time bounds hold again.
const contact = 3 * time.Second

// inTouch tells whether nothing that a router knows by was disturbed from contact before a time until another.
func (f *fleet) inTouch(r *router, from, till time.Time) bool {
	if r.disturbed(from, till, contact) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(f.shaken, func(s shaken) bool { return (s.only == nil || s.only == r) && s.overlaps(from, till, contact) })
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, r := range f.routers {
		r.end()
		r.store.close()
	}
	for _, r := range f.replicas {
		r.end()
		r.gate.close()
	}
	f.store.end()
	f.group.Wait()
	for _, file := range f.files {
		_ = file.Close()
	}
}

// lines returns what the routers logged on a request.
func (f *fleet) lines(id string) []string {
	var found []string
	for _, r := range f.routers {
		b, err := os.ReadFile(filepath.Join(f.keep, r.name+".log"))
		if err != nil {
			found = append(found, err.Error())
			continue
		}
		for l := range strings.SplitSeq(string(b), "\n") {
			if strings.Contains(l, id) {
				found = append(found, r.name+" "+l)
			}
		}
	}
	return found
}
