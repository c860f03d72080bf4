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
	Name           jaywind.Route
	Host           string
	Prefix         string // begins and ends with a slash
	Kind           Kind
	Resume         bool          // a broken stream may be continued at another endpoint
	Timeout        time.Duration // for the answer; 0 for no limit
	LatencyTarget  time.Duration // target for the time to the answer, or to the first event of a stream
	EventTimeout   time.Duration // longest time between two events of a stream
	MaxAttempts    int           // endpoints to which one request may be sent
	Priority       int           // 0 is the most urgent
	AllowAnonymous bool          // requests need no API key
	Backends       []Backend     // services that serve the route
}

// Backend is a service of a route with its weight among the route's services.
type Backend struct {
	Service jaywind.ServiceName
	Weight  int
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resume
}

// Service is the common configuration of a set of endpoints.
type Service struct {
	Name           jaywind.ServiceName
	MaxConnections int     // connections that an endpoint accepts from all callers together; 0 for no limit
	HealthPath     string  // path of an endpoint's health check; empty if it has none
	Engine         *Engine // nil for a plain service
}

// Engine is the common configuration of the endpoints of a model service.
type Engine struct {
	Models         []jaywind.Model // models that the service serves
	Slots          int
	MemoryTokens   int           // memory (KV cache) of an endpoint, in tokens
	CopiesMemory   bool          // the memory of a run may be replicated to another endpoint as it grows
	CopiesStarted  bool          // the memory of a run may be copied after the run has started
	CopyTTL        time.Duration // for which a copy that was made after the start is kept
	TokensPerEvent int           // tokens in one event
}

// KeyOwner is the owner of an API key.
type KeyOwner struct {
	Organisation jaywind.Organisation
	Priority     int
	HasPriority  bool // Priority overrides that of the route
}

// Keys are the API keys that callers may use. An empty set accepts no caller.
type Keys map[string]KeyOwner

// Limits bound the size of requests and the time that callers may take to send them.
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

	routes     map[hostPrefix]*Route
	keys       *Keys // nil if callers need none
	priorities map[jaywind.ServiceName]priorityRange
}

type hostPrefix struct{ host, prefix string }

// NewSet builds a set. Of two routes with the same host and prefix the later one applies. With nil for keys, callers need none.
func NewSet(version uint64, routes []Route, services []Service, keys *Keys, limits Limits) *Set {
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
	s.priorities = prioritiesOf(routes)
	return s
}

// priorityRange is the most and the least urgent priority of the routes of a service.
type priorityRange struct{ first, last int }

func prioritiesOf(routes []Route) map[jaywind.ServiceName]priorityRange {
	all := map[jaywind.ServiceName]priorityRange{}
	for _, r := range routes {
		for _, b := range r.Backends {
			p, known := all[b.Service]
			if !known {
				p = priorityRange{r.Priority, r.Priority}
			}
			all[b.Service] = priorityRange{min(p.first, r.Priority), max(p.last, r.Priority)}
		}
	}
	return all
}

// Priorities returns the most and the least urgent priority of the routes of a service; both are 0 if it has none.
func (s *Set) Priorities(service jaywind.ServiceName) (first, last int) {
	p := s.priorities[service]
	return p.first, p.last
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

// OwnerOf returns the owner of an API key.
func (s *Set) OwnerOf(key string) (KeyOwner, bool) {
	if s.keys == nil {
		return KeyOwner{}, false
	}
	h, known := (*s.keys)[key]
	return h, known
}

// RequiresKey reports whether requests need an API key. They also do while there is none that they could have.
func (s *Set) RequiresKey() bool { return s.keys != nil }

// KeyCount returns the number of API keys.
func (s *Set) KeyCount() int {
	if s.keys == nil {
		return 0
	}
	return len(*s.keys)
}

// RouteCount returns the number of routes.
func (s *Set) RouteCount() int {
	return len(s.routes)
}
