package soak

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

const (
	host       = "a.example"
	plainTime  = 1500 * time.Millisecond // that a plain call may take
	streamTime = 8 * time.Second
	applyTime  = 2 * time.Second // for a configuration to be in force
	revokeTime = 5 * time.Second // for a key to be gone
)

// rules are the configurations that the operator writes.
type rules struct {
	mu      sync.Mutex
	version int
	routes  []time.Time // when each added route was acknowledged
	keys    []time.Time // when each extra key was revoked; zero for the one that holds
}

type object = map[string]any

// text returns the configuration as it is to be; the caller holds mu.
func (u *rules) text() []byte {
	route := func(name, prefix, kind, service string, limit time.Duration, attempts int) object {
		return object{"name": name, "host": host, "prefix": prefix, "kind": kind, "service": service, "timeoutMs": limit.Milliseconds(),
			"targetLatencyMs": 300, "priority": 1, "maxAttempts": attempts, "resumeStreams": kind == "streaming", "gapAimMs": 700}
	}
	routes := []object{
		route("stream", "/stream/", "streaming", "pool", streamTime, 5),
		route("get", "/get/", "safe", "desk", plainTime, 3),
		route("buy", "/buy/", "unsafe", "desk", plainTime, 3),
	}
	for i := range u.routes {
		routes = append(routes, route(fmt.Sprintf("new%d", i), newPrefix(i), "safe", "desk", plainTime, 3))
	}
	tenants := []object{{"name": "org", "apiKeys": []string{"key"}}}
	if n := len(u.keys); n > 0 {
		tenants = append(tenants, object{"name": extraOrg(n - 1), "apiKeys": []string{extraKey(n - 1)}})
	}
	u.version += 3
	b, err := json.Marshal(object{"version": u.version, "routes": routes, "tenants": tenants,
		"services": []object{
			{"name": "pool", "healthPath": "/healthz", "maxConnections": 500, "engine": object{"slots": 16, "kvCapacity": 55000,
				"backups": true, "moves": true, "handleS": 4, "stride": 6, "models": []object{{"name": "m"}}}},
			{"name": "desk", "healthPath": "/healthz", "maxConnections": 500}},
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err) // all of it can be encoded
	}
	return b
}

func newPrefix(i int) string { return fmt.Sprintf("/new%d/", i) }
func extraKey(i int) string  { return fmt.Sprintf("extra%d", i) }
func extraOrg(i int) string  { return fmt.Sprintf("org-extra%d", i) }

// first returns the configuration to start with.
func (u *rules) first() []byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.keys = []time.Time{{}}
	return u.text()
}

// addRoute puts a configuration with one more route in force.
func (u *rules) addRoute(f *fleet) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.routes = append(u.routes, time.Time{})
	if f.admin("put?key=op/config", u.text()) != nil {
		u.routes = u.routes[:len(u.routes)-1] // the store is away, so the operator waits for another time
		return
	}
	u.routes[len(u.routes)-1] = time.Now()
}

// revoke takes the extra key away and gives out another one.
func (u *rules) revoke(f *fleet) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.keys = append(u.keys, time.Time{})
	if f.admin("put?key=op/config", u.text()) != nil {
		u.keys = u.keys[:len(u.keys)-1]
		return
	}
	u.keys[len(u.keys)-2] = time.Now()
}

// newest returns the prefix of the newest route and since when it is there, or false if there is none.
func (u *rules) newest() (prefix string, since time.Time, found bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := len(u.routes)
	if n == 0 || u.routes[n-1].IsZero() {
		return "", time.Time{}, false
	}
	return newPrefix(n - 1), u.routes[n-1], true
}

// extra returns an extra key, the one that holds or the last one that was revoked.
func (u *rules) extra(old bool) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := len(u.keys) - 1
	if old && n > 0 {
		n--
	}
	return extraKey(n)
}

// revoked returns when an organisation's key was revoked; zero for one that holds.
func (u *rules) revoked(organisation string) time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i, at := range u.keys {
		if extraOrg(i) == organisation {
			return at
		}
	}
	return time.Time{}
}
