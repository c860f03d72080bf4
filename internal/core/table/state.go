package table

import (
	"math/rand/v2"
	"time"

	"jaywind"
	"jaywind/internal/core/rule"
)

// State is all that a router knows, with the inputs and outputs of the current tick.
type State struct {
	Now    time.Time
	Full   bool // whether timers are due to be looked at
	Events []Event
	Random *rand.Rand

	Self          jaywind.VM
	Domain        jaywind.Domain
	Rules         *rule.Set // nil until the first rules are known
	RulesVersion  jaywind.RulesVersion
	Requests      map[jaywind.RequestID]*Request
	Endpoints     map[jaywind.EndpointID]*Endpoint
	Organisations map[jaywind.Organisation]*Organisation
	Membership    Membership
	Rings         Rings
	Pools         map[jaywind.Model]*Pool
	Fleet         Fleet
	Moves         map[jaywind.Model]*Move
	Steered       time.Time // when the wanted states of endpoints were last emitted
	Calls         map[jaywind.RequestID]*ServiceCall
	Retries       map[RetryKey]*RetryBudget
	Ledger        Ledger
	Quotas        Quotas

	Queued  []jaywind.RequestID // wait for admission, oldest first
	Ready   []jaywind.RequestID // wait for an endpoint, most urgent first
	Waiting []jaywind.RequestID // found no endpoint, tried again on a full tick

	Journal Journal

	Stopping bool // a graceful shutdown has begun
	Counts   Counts

	commands []Command
}

// Counts are running totals that metrics and tests read.
type Counts struct {
	Taken     int // tokens taken
	Stray     int // frames dropped because of request, attempt or position
	Resumed   int // resumes of any kind
	Reused    int // resumes on the same engine's own stream
	Recounted int // prefix tokens that an engine had to compute again
	Refused   int
	Paced     int // times that a resume waited for the prefills before it
	Abandoned int // resumes given up because the backlog was too long
}

// New returns an empty state whose choices follow from seed.
func New(seed uint64) *State {
	return &State{
		Random:        rand.New(rand.NewPCG(seed, seed)),
		Requests:      map[jaywind.RequestID]*Request{},
		Endpoints:     map[jaywind.EndpointID]*Endpoint{},
		Organisations: map[jaywind.Organisation]*Organisation{},
		Pools:         map[jaywind.Model]*Pool{},
		Fleet:         NewFleet(),
		Moves:         map[jaywind.Model]*Move{},
		Calls:         map[jaywind.RequestID]*ServiceCall{},
		Retries:       map[RetryKey]*RetryBudget{},
		Quotas:        Quotas{Pressing: map[jaywind.Organisation]*Organisation{}},
	}
}

// Begin sets the inputs of a tick.
func (s *State) Begin(now time.Time, full bool, events []Event) {
	s.Now = now
	s.Full = full
	s.Events = events
}

// Emit adds a command to the outputs of the tick.
func (s *State) Emit(c Command) {
	s.commands = append(s.commands, c)
}

// Take returns the commands of the tick and forgets them and the events.
func (s *State) Take() []Command {
	out := s.commands
	s.commands = nil
	s.Events = nil
	return out
}

// System is one step of a tick.
type System interface {
	Step(s *State)
}
