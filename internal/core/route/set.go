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
	Name      jaywind.Route
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Resume    bool          // a stream may go on at another endpoint
	Timeout   time.Duration // longest wait for the answer; 0 for none
	Objective time.Duration // to the answer, or to a stream's first event
	Pause     time.Duration // longest between two events of a stream
	Attempts  int           // endpoints that one request may be sent to
	Rank      int           // 0 is the most urgent
	Anonymous bool          // needs no key
	Shares    []Share       // of the services that serve it
}

// Share is the part of a route's calls that a service gets.
type Share struct {
	Service jaywind.ServiceName
	Weight  int
}

// Repeatable tells whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resume
}

// Service is a set of endpoints with common properties.
type Service struct {
	Name        jaywind.ServiceName
	Connections int     // that an endpoint takes from all callers together; 0 for no limit
	Health      string  // path of an endpoint's health check; empty if it has none
	Engine      *Engine // nil for a plain service
}

// Engine is what the endpoints of a model service have in common.
type Engine struct {
	Models []jaywind.Model // that the service serves
	Slots  int
	Room   int           // tokens of memory
	Copies bool          // a run's memory may be copied to another endpoint as it grows
	Moves  bool          // the memory of a run that has begun may be copied
	Keep   time.Duration // that a copy of a run that has begun is kept
	Stride int           // tokens of one event
}

// Holder is who a key belongs to.
type Holder struct {
	Organisation jaywind.Organisation
	Rank         int
	Ranked       bool // Rank goes before the route's
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	Header int // bytes
	Body   int // bytes
	Read   time.Duration
	Idle   time.Duration
}

// Set is one version of the configuration.
type Set struct {
	Version  uint64
	Services map[jaywind.ServiceName]*Service
	Limits   Limits

	routes map[place]*Route
	keys   map[string]Holder
}

type place struct{ host, prefix string }

// New builds a set; of two routes at one place the later one counts.
func New(version uint64, routes []Route, services []Service, keys map[string]Holder, limits Limits) *Set {
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

// Serving returns the only service that serves a model, or nil if there are none or several.
func (s *Set) Serving(m jaywind.Model) *Service {
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

// Holder returns who a key belongs to.
func (s *Set) Holder(key string) (Holder, bool) {
	h, known := s.keys[key]
	return h, known
}

// Keyed tells whether calls need a key at all.
func (s *Set) Keyed() bool {
	return len(s.keys) > 0
}

// Routes returns how many routes there are.
func (s *Set) Routes() int {
	return len(s.routes)
}
