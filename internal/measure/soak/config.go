package soak

import (
	"fmt"
	"sync"
	"time"

	"jaywind/platform/standin"
)

const (
	host          = "a.example"
	plainTimeout  = 1500 * time.Millisecond // of a plain call
	streamTimeout = 8 * time.Second
	applyTimeout  = 2 * time.Second // until a new configuration is in force
	revokeTimeout = 5 * time.Second // until a revoked key is refused
)

// operatorConfig makes and writes the configurations of the operator.
type operatorConfig struct {
	mu            sync.Mutex
	version       int
	routesAddedAt []time.Time // when the store acknowledged each added route
	keysRevokedAt []time.Time // when each extra key was revoked; zero for the valid one
	last          standin.Config
}

// next returns the next version of the configuration; the caller holds mu.
func (u *operatorConfig) next() standin.Config {
	u.version += 3
	c := standin.Config{Version: u.version, Host: host, Keys: map[string]string{"key": "org"}, Routes: []standin.Route{
		{Name: "stream", Prefix: "/stream/", Kind: "streaming", Service: "pool", Timeout: streamTimeout, MaxAttempts: 5, Priority: urgentPriority, LatencyTarget: roomTarget},
		{Name: "bulk", Prefix: "/bulk/", Kind: "streaming", Service: "pool", Timeout: streamTimeout, MaxAttempts: 5, Priority: bulkPriority, LatencyTarget: roomTarget},
		{Name: "get", Prefix: "/get/", Kind: "safe", Service: "desk", Timeout: plainTimeout, MaxAttempts: 3},
		{Name: "buy", Prefix: "/buy/", Kind: "unsafe", Service: "desk", Timeout: plainTimeout, MaxAttempts: 3},
	}}
	for i := range u.routesAddedAt {
		c.Routes = append(c.Routes, standin.Route{Name: fmt.Sprintf("new%d", i), Prefix: addedPrefix(i), Kind: "safe", Service: "desk",
			Timeout: plainTimeout, MaxAttempts: 3})
	}
	if n := len(u.keysRevokedAt); n > 0 {
		c.Keys[extraKeyName(n-1)] = extraOrganisation(n - 1)
	}
	return c
}

// write writes a configuration to the store; the caller holds mu.
func (u *operatorConfig) write(f *fleet, c standin.Config) error {
	err := f.operator().Configure(c)
	if err == nil {
		u.last = c
	}
	return err
}

// writeAgain writes the last configuration again, after the store may have lost it.
func (u *operatorConfig) writeAgain(f *fleet) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for end := time.Now().Add(startTimeout); time.Now().Before(end) && f.operator().Configure(u.last) != nil; { // the store may be away
		time.Sleep(100 * time.Millisecond)
	}
}

func addedPrefix(i int) string       { return fmt.Sprintf("/new%d/", i) }
func extraKeyName(i int) string      { return fmt.Sprintf("extra%d", i) }
func extraOrganisation(i int) string { return fmt.Sprintf("org-extra%d", i) }

// initial returns the first configuration, with one extra key.
func (u *operatorConfig) initial() standin.Config {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.keysRevokedAt = []time.Time{{}}
	u.last = u.next()
	return u.last
}

// addRoute writes a configuration with one more route.
func (u *operatorConfig) addRoute(f *fleet) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.routesAddedAt = append(u.routesAddedAt, time.Time{})
	if u.write(f, u.next()) != nil {
		u.routesAddedAt = u.routesAddedAt[:len(u.routesAddedAt)-1] // the store is unavailable: the route is added by a later fault
		return
	}
	u.routesAddedAt[len(u.routesAddedAt)-1] = time.Now()
}

// rotateKey revokes the extra key and issues another one.
func (u *operatorConfig) rotateKey(f *fleet) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.keysRevokedAt = append(u.keysRevokedAt, time.Time{})
	if u.write(f, u.next()) != nil {
		u.keysRevokedAt = u.keysRevokedAt[:len(u.keysRevokedAt)-1]
		return
	}
	u.keysRevokedAt[len(u.keysRevokedAt)-2] = time.Now()
}

// newestRoute returns the prefix of the route that was added last, and when the store acknowledged it.
func (u *operatorConfig) newestRoute() (prefix string, since time.Time, found bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := len(u.routesAddedAt)
	if n == 0 || u.routesAddedAt[n-1].IsZero() {
		return "", time.Time{}, false
	}
	return addedPrefix(n - 1), u.routesAddedAt[n-1], true
}

// extraKey returns the valid extra key, or if old is set the one that was revoked last.
func (u *operatorConfig) extraKey(old bool) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := len(u.keysRevokedAt) - 1
	if old && n > 0 {
		n--
	}
	return extraKeyName(n)
}

// revokedAt returns when the extra key of an organisation was revoked; zero if it is valid or no extra key.
func (u *operatorConfig) revokedAt(organisation string) time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i, at := range u.keysRevokedAt {
		if extraOrganisation(i) == organisation {
			return at
		}
	}
	return time.Time{}
}
