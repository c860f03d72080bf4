package rule

import (
	"time"

	"jaywind"
)

// Set is a complete set of rules.
type Set struct {
	Endpoints     map[jaywind.EndpointID]Endpoint
	Drains        map[jaywind.EndpointID]Drain
	Models        map[jaywind.Model]Model
	Moves         map[jaywind.Model]Move
	Organisations map[jaywind.Organisation]Organisation
	Services      map[jaywind.ServiceName]Service
	Routes        map[jaywind.Route]Route
}

// Kind is the kind of an endpoint.
type Kind string

// The kinds of endpoint.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Endpoint is an engine or an instance of a plain service, with its address.
type Endpoint struct {
	ID          jaywind.EndpointID
	Kind        Kind
	Model       jaywind.Model
	Version     jaywind.Version
	Service     jaywind.ServiceName
	URL         jaywind.Address
	Domain      jaywind.Domain
	VM          jaywind.VM // VM that it runs on, as named in the VM list; may be empty
	Fenced      bool       // whether it refuses an order with an outdated fencing token
	RequestedBy string
}

// Drain excludes an endpoint from new work.
type Drain struct {
	ID          jaywind.EndpointID
	RequestedBy string
}

// Model sets the version that serves a model while there is no move.
type Model struct {
	Name        jaywind.Model
	Version     jaywind.Version
	RequestedBy string
}

// Move shifts a model's traffic from one version to another by a deadline.
type Move struct {
	Model       jaywind.Model
	From        jaywind.Version
	To          jaywind.Version
	Deadline    time.Time
	Budget      int // requests that may start on the new version before it has proved itself
	RequestedBy string
}

// Organisation sets the rate limit, queueing weight and priority of an organisation.
type Organisation struct {
	Name        jaywind.Organisation
	Rate        float64 // requests a second
	Burst       int     // requests
	Weight      int     // weight in fair queueing
	Priority    jaywind.Priority
	RequestedBy string
}

// Service sets how calls to a plain service are handled.
type Service struct {
	Name        jaywind.ServiceName
	Path        string // prefix of the paths to which AtMostOnce applies
	AtMostOnce  bool   // whether calls below Path must not be repeated
	RequestedBy string
}

// Route assigns a model to a named kind of traffic.
type Route struct {
	Name        jaywind.Route
	Model       jaywind.Model
	RequestedBy string
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{
		Endpoints:     map[jaywind.EndpointID]Endpoint{},
		Drains:        map[jaywind.EndpointID]Drain{},
		Models:        map[jaywind.Model]Model{},
		Moves:         map[jaywind.Model]Move{},
		Organisations: map[jaywind.Organisation]Organisation{},
		Services:      map[jaywind.ServiceName]Service{},
		Routes:        map[jaywind.Route]Route{},
	}
}
