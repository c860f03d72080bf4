package rule

import (
	"time"

	"jaywind"
)

// Set is a whole set of rules.
type Set struct {
	Endpoints     map[jaywind.EndpointID]Endpoint
	Drains        map[jaywind.EndpointID]Drain
	Models        map[jaywind.Model]Model
	Moves         map[jaywind.Model]Move
	Organisations map[jaywind.Organisation]Organisation
	Services      map[jaywind.ServiceName]Service
	Routes        map[jaywind.Route]Route
}

// Kind says what an endpoint is.
type Kind string

// The kinds of endpoint.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Endpoint says where an engine or a service listens.
type Endpoint struct {
	ID      jaywind.EndpointID
	Kind    Kind
	Model   jaywind.Model
	Version jaywind.Version
	Service jaywind.ServiceName
	URL     jaywind.Address
	Domain  jaywind.Domain
	VM      jaywind.VM // where it runs, as the VM list names it; may be empty
	Fenced  bool       // whether it refuses an order that carries an old fencing number
	Asked   string
}

// Drain says that an endpoint is to receive no new work.
type Drain struct {
	ID    jaywind.EndpointID
	Asked string
}

// Model names the version that serves a model outside of a move.
type Model struct {
	Name    jaywind.Model
	Version jaywind.Version
	Asked   string
}

// Move takes a model's traffic from one version to another by a stated time.
type Move struct {
	Model    jaywind.Model
	From     jaywind.Version
	To       jaywind.Version
	Deadline time.Time
	Budget   int // requests that may start on the new version before there is proof
	Asked    string
}

// Organisation limits what an organisation may ask for.
type Organisation struct {
	Name     jaywind.Organisation
	Rate     float64 // requests a second
	Burst    int     // requests
	Weight   int     // share in the fair queue
	Priority jaywind.Priority
	Asked    string
}

// Service says how calls to a plain service are treated.
type Service struct {
	Name  jaywind.ServiceName
	Path  string // prefix of the paths whose calls are once-only, where Once is set
	Once  bool   // whether calls below Path may not be repeated
	Asked string
}

// Route names a kind of traffic and the model that serves it.
type Route struct {
	Name  jaywind.Route
	Model jaywind.Model
	Asked string
}

// NewSet returns a set without rules.
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
