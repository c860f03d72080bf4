package route

import (
	"slices"
	"strings"
	"time"

	"jaywind"
)

// Kind is the kind of a route; it determines whether requests may be repeated.
type Kind int

// The kinds of routes.
const (
	KindSafe   Kind = iota // a request may run any number of times
	KindUnsafe             // a request runs at most once
	KindStream             // the response is a stream of events; a request runs once unless Route.Resume is set
)

// Route is the configuration of the requests with one host and path prefix.
type Route struct {
	Name      jaywind.Route
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Resume    bool          // a broken stream may be continued at another endpoint
	Timeout   time.Duration // for the answer; 0 for no limit
	Objective time.Duration // target for the time to the answer, or to the first event of a stream
	Pause     time.Duration // longest time between two events of a stream
	Attempts  int           // endpoints to which one request may be sent
	Rank      int           // 0 is the most urgent
	Anonymous bool          // requests need no API key
	Shares    []Share       // services that serve the route
}

// Backend is a service of a route with its weight among the route's services.
type Share struct {
	Service jaywind.ServiceName
	Weight  int
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resume
}

// Service is the common configuration of a set of endpoints.
type Service struct {
	Name        jaywind.ServiceName
	Connections int     // connections that an endpoint accepts from all callers together; 0 for no limit
	Health      string  // path of an endpoint's health check; empty if it has none
	Engine      *Engine // nil for a plain service
}

// Engine is the common configuration of the endpoints of a model service.
type Engine struct {
	Models []jaywind.Model // models that the service serves
	Slots  int
	Room   int           // memory of an endpoint
	Copies bool          // the memory of a run may be replicated to another endpoint as it grows
	Moves  bool          // the memory of a run may be copied after the run has started
	Keep   time.Duration // for which a copy that was made after the start is kept
	Stride int           // tokens in one event
}

// KeyOwner is the owner of an API key.
type Holder struct {
	Organisation jaywind.Organisation
	Rank         int
	Ranked       bool // Priority overrides that of the route
}

// Limits bound the size of requests and the time that callers may take to send them.
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

	routes map[hostPrefix]*Route
	keys   map[string]Holder
}

type hostPrefix struct{ host, prefix string }

// NewSet builds a set. Of two routes with the same host and prefix the later one applies.
func New(version uint64, routes []Route, services []Service, keys map[string]Holder, limits Limits) *Set {
	s := &Set{
		Version:  version,
		Services: make(map[jaywind.ServiceName]*Service, len(services)),
		Limits:   limits,
		routes:   make(map[hostPrefix]*Route, len(routes)),
		keys:     keys,
	}
	for i := range routes {
		r := &routes[i]
		s.routes[hostPrefix{strings.ToLower(r.Host), r.Prefix}] = r
	}
	for i := range services {
		s.Services[services[i].Name] = &services[i]
	}
	return s
}

// Match returns the route of a host with the longest matching prefix of path, or nil.
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
		if r := s.routes[hostPrefix{host, path[:cut+1]}]; r != nil {
			return r
		}
		end = cut
	}
	return nil
}

// ServiceFor returns the service that serves a model, or nil if there is none or more than one.
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

// OwnerOf returns the owner of an API key.
func (s *Set) Holder(key string) (Holder, bool) {
	h, known := s.keys[key]
	return h, known
}

// RequiresKey reports whether any API keys are configured, so that requests need one.
func (s *Set) Keyed() bool {
	return len(s.keys) > 0
}

// RouteCount returns the number of routes.
func (s *Set) Routes() int {
	return len(s.routes)
}
