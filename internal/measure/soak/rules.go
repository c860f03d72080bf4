package soak

import (
	"fmt"
	"sync"
	"time"

	"jaywind/platform/standin"
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

// next returns the next version of the configuration; the caller holds mu.
func (u *rules) next() standin.Config {
	u.version += 3
	c := standin.Config{Version: u.version, Host: host, Keys: map[string]string{"key": "org"}, Routes: []standin.Route{
		{Name: "stream", Prefix: "/stream/", Kind: "streaming", Service: "pool", Limit: streamTime, Attempts: 5},
		{Name: "get", Prefix: "/get/", Kind: "safe", Service: "desk", Limit: plainTime, Attempts: 3},
		{Name: "buy", Prefix: "/buy/", Kind: "unsafe", Service: "desk", Limit: plainTime, Attempts: 3},
	}}
	for i := range u.routes {
		c.Routes = append(c.Routes, standin.Route{Name: fmt.Sprintf("new%d", i), Prefix: newPrefix(i), Kind: "safe", Service: "desk",
			Limit: plainTime, Attempts: 3})
	}
	if n := len(u.keys); n > 0 {
		c.Keys[extraKey(n-1)] = extraOrg(n - 1)
	}
	return c
}

func newPrefix(i int) string { return fmt.Sprintf("/new%d/", i) }
func extraKey(i int) string  { return fmt.Sprintf("extra%d", i) }
func extraOrg(i int) string  { return fmt.Sprintf("org-extra%d", i) }

// first returns the configuration to start with.
func (u *rules) first() standin.Config {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.keys = []time.Time{{}}
	return u.next()
}

// addRoute puts a configuration with one more route in force.
func (u *rules) addRoute(f *fleet) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.routes = append(u.routes, time.Time{})
	if f.operator().Configure(u.next()) != nil {
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
	if f.operator().Configure(u.next()) != nil {
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
