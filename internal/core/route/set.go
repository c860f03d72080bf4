package route

import (
	"slices"
	"strings"
	"time"

	"jaywind"
)

// Kind says what may be repeated on a route.
type Kind int

// The kinds of routes.
const (
	KindSafe   Kind = iota // may run any number of times
	KindUnsafe             // runs at most once
	KindStream             // a series of events; runs once unless Route.Resume
)

// Route is one kind of calls.
type Route struct {
	Name           jaywind.Route
	Host           string
	Prefix         string // begins and ends with a slash
	Kind           Kind
	Resume         bool          // a stream may go on at another endpoint
	Timeout        time.Duration // longest wait for the answer; 0 for none
	LatencyTarget  time.Duration // to the answer, or to a stream's first event
	EventTimeout   time.Duration // longest between two events of a stream
	MaxAttempts    int           // endpoints that one request may be sent to
	Priority       int           // 0 is the most urgent
	AllowAnonymous bool          // needs no key
	Backends       []Backend     // of the services that serve it
}

// Backend is the part of a route's calls that a service gets.
type Backend struct {
	Service jaywind.ServiceName
	Weight  int
}

// Repeatable tells whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resume
}

// Service is a set of endpoints with common properties.
type Service struct {
	Name           jaywind.ServiceName
	MaxConnections int     // that an endpoint takes from all callers together; 0 for no limit
	HealthPath     string  // path of an endpoint's health check; empty if it has none
	Engine         *Engine // nil for a plain service
}

// Engine is what the endpoints of a model service have in common.
type Engine struct {
	Models         []jaywind.Model // that the service serves
	Slots          int
	MemoryTokens   int           // tokens of memory
	CopiesMemory   bool          // a run's memory may be copied to another endpoint as it grows
	CopiesStarted  bool          // the memory of a run that has begun may be copied
	CopyTTL        time.Duration // that a copy of a run that has begun is kept
	TokensPerEvent int           // tokens of one event
}

// KeyOwner is who a key belongs to.
type KeyOwner struct {
	Organisation jaywind.Organisation
	Priority     int
	HasPriority  bool // Rank goes before the route's
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int // bytes
	BodyBytes     int // bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Set is one version of the configuration.
type Set struct {
	Version  uint64
	Services map[jaywind.ServiceName]*Service
	Limits   Limits

	routes map[place]*Route
	keys   map[string]KeyOwner
}

type place struct{ host, prefix string }

// NewSet builds a set; of two routes at one place the later one counts.
func NewSet(version uint64, routes []Route, services []Service, keys map[string]KeyOwner, limits Limits) *Set {
	s := &Set{
		Version:  version,
		Services: make(map[jaywind.ServiceName]*Service, len(services)),
		Limits:   limits,
		routes:   make(map[place]*Route, len(routes)),
		keys:     keys,
	}
	for i := range routes {
		r := &routes[i]
		s.routes[place{strings.ToLower(r.Host), r.Prefix}] = r
	}
	for i := range services {
		s.Services[services[i].Name] = &services[i]
	}
	return s
}

// Match returns the route of a host with the longest prefix of path, or nil.
func (s *Set) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if name, _, found := strings.Cut(host, ":"); found {
		host = name
	}
	for end := len(path); end > 0; {
		cut := strings.LastIndexByte(path[:end], '/')
		if cut < 0 {
			return nil
		}
		if r := s.routes[place{host, path[:cut+1]}]; r != nil {
			return r
		}
		end = cut
	}
	return nil
}

// ServiceFor returns the only service that serves a model, or nil if there are none or several.
func (s *Set) ServiceFor(m jaywind.Model) *Service {
	var only *Service
	for _, service := range s.Services {
		if service.Engine == nil || !slices.Contains(service.Engine.Models, m) {
			continue
		}
		if only != nil {
			return nil
		}
		only = service
	}
	return only
}

// OwnerOf returns who a key belongs to.
func (s *Set) OwnerOf(key string) (KeyOwner, bool) {
	h, known := s.keys[key]
	return h, known
}

// RequiresKey tells whether calls need a key at all.
func (s *Set) RequiresKey() bool {
	return len(s.keys) > 0
}

// RouteCount returns how many routes there are.
func (s *Set) RouteCount() int {
	return len(s.routes)
}
