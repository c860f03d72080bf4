// Command standin runs a case of the review: it plays the platform's store, the replicas and the clients, starts the routers as
// processes, and exits with 1 if the rule was broken, with 0 if it held and with 2 if the case couldn't run.
//
//	standin CASE ROOT RECORD
package main

import (
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
	cases      = map[string]func(*deployment) (broken bool, err error){"copies": copies, "revoke": revoke}
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
func (d *deployment) startRouters(count int) (err error) {
	if d.routers, err = newRouters(d.root, d.dir, d.store.address, zones, count); err != nil {
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
	route := func(name, prefix, kind string, attempts int) object {
		return object{"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": 800, "targetLatencyMs": 300, "priority": 2,
			"service": "cover-desk", "maxAttempts": attempts, "allowAnonymous": false}
	}
	revision := d.store.put("op/config", object{
		"version":  d.version,
		"routes":   []object{route("bind-cover", "/pule252/", "unsafe", 1), route("policy-lookup", "/puxa403/", "safe", 2)},
		"services": []object{{"name": "cover-desk", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  list,
	}, 0)
	d.record.line("the store has version %d of the configuration at revision %d; tenants: %v", d.version, revision, tenants)
}
