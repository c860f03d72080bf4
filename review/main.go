// Command standin runs a case of the review: it plays the platform's store, the replicas and the clients, starts the routers as
// processes, and exits with 1 if the rule was broken, with 0 if it held and with 2 if the case couldn't run.
//
//	standin CASE ROOT RECORD
package main

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const host = "ficu95.example"

var (
	background sync.WaitGroup
	zones      = []string{"lagos-marina", "apapa-port", "onne-terminal", "phc-trans"}
	cases      = map[string]func(*deployment) (broken bool, err error){"copies": copies, "revoke": revoke, "silence": silence, "memory": memory}
)

// deployment is a small deployment with a plain service.
type deployment struct {
	root, dir string
	trouble   bool
	record    *record
	store     *store
	replicas  []*replica
	routers   []*router
	version   int
	service   string // of all routes; cover-desk if empty
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(2)
	}
	broken, err := play(os.Args[1], os.Args[2], os.Args[3])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

func play(name, root, path string) (broken bool, err error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs of the routers:", dir)
	}
	r, err := newRecord(path)
	if err != nil {
		return false, err
	}
	defer r.close()
	d := &deployment{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: r}
	defer d.stop()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	background.Go(func() {
		b, err := cases[name](d)
		done <- result{b, err}
	})
	select {
	case got := <-done:
		return got.broken, got.err
	case <-stopped:
		return false, errors.New("it was stopped")
	case <-time.After(110 * time.Second):
		return false, errors.New("it takes too long")
	}
}

func (d *deployment) stop() {
	for _, r := range d.routers {
		r.stop()
	}
}

// startStore starts the store.
func (d *deployment) startStore() (err error) {
	d.store, err = newStore(&background)
	return err
}

// startReplica starts a replica.
func (d *deployment) startReplica(r *replica) error {
	r.store, r.record = d.store, d.record
	d.replicas = append(d.replicas, r)
	return r.start(&background)
}

// startRouters starts routers and waits until they are ready.
func (d *deployment) startRouters(count int) error {
	var stores []string
	for range count {
		stores = append(stores, d.store.address)
	}
	return d.startRoutersAt(stores)
}

// startRoutersAt starts a router for each address of the store.
func (d *deployment) startRoutersAt(stores []string) (err error) {
	if d.routers, err = newRouters(d.root, d.dir, stores, zones); err != nil {
		return err
	}
	for _, r := range d.routers {
		if err := r.start(d.root); err != nil {
			return err
		}
	}
	for _, r := range d.routers {
		if err := r.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

type object = map[string]any

// configure writes a configuration with an unsafe and a safe route, and tenants with their keys.
func (d *deployment) configure(tenants map[string][]string) {
	d.version += 3
	list := []object{}
	for name, keys := range tenants {
		list = append(list, object{"name": name, "apiKeys": append([]string{}, keys...)})
	}
	service := cmp.Or(d.service, "cover-desk")
	route := func(name, prefix, kind string, attempts int) object {
		return object{"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": 800, "targetLatencyMs": 300, "priority": 2,
			"service": service, "maxAttempts": attempts, "allowAnonymous": false}
	}
	stream := object{"name": "voyage-brief", "host": host, "prefix": "/lohu930/", "kind": "streaming", "timeoutMs": 25000, "targetLatencyMs": 4500, "priority": 1,
		"service": "jaywind-pool", "maxAttempts": 5, "allowAnonymous": false, "stickySessions": true, "resumeStreams": true, "gapAimMs": 700}
	revision := d.store.put("op/config", object{
		"version": d.version,
		"routes":  []object{route("bind-cover", "/pule252/", "unsafe", 1), route("policy-lookup", "/puxa403/", "safe", 2), stream},
		"services": []object{
			{"name": "cover-desk", "healthPath": healthPath, "maxConnections": 110, "protocol": "h1", "tls": false},
			{"name": "jaywind-pool", "healthPath": healthPath, "maxConnections": 180, "protocol": "h1", "tls": false, "engine": object{"slots": 16, "kvCapacity": 55000,
				"kvTokenBytes": 163840, "linkMbps": 280000.0, "moves": true, "backups": true, "stride": 6, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 4.0,
				"models": []object{{"name": "m"}}}},
			{"name": "claims-desk", "healthPath": healthPath, "maxConnections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": list,
	}, 0)
	d.record.line("the store has version %d of the configuration at revision %d; routes go to %s; tenants: %v", d.version, revision, service, tenants)
}
