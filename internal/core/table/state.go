package table

import (
	"math/rand/v2"
	"time"

	"jaywind"
	"jaywind/internal/core/rule"
)

// State is the whole state of a router's core, with the inputs and outputs of the current tick.
type State struct {
	Now    time.Time
	Full   bool // whether systems check their timers in this tick
	Events []Event
	Random *rand.Rand

	Self          jaywind.VM
	Domain        jaywind.Domain
	Rules         *rule.Set // nil until rules are first received
	RulesVersion  jaywind.RulesVersion
	Requests      map[jaywind.RequestID]*Request
	Endpoints     map[jaywind.EndpointID]*Endpoint
	Organisations map[jaywind.Organisation]*Organisation
	Membership    Membership
	Rings         Rings
	Pools         map[jaywind.Model]*Pool
	Fleet         Fleet
	Moves         map[jaywind.Model]*Move
	DesiredSetAt  time.Time // when the desired states of endpoints were last emitted
	Calls         map[jaywind.RequestID]*ServiceCall
	Retries       map[RetryKey]*RetryBudget
	CommitHealth  CommitHealth
	Quotas        Quotas

	Queued  []jaywind.RequestID // requests waiting for admission, oldest first
	Ready   []jaywind.RequestID // requests waiting for an endpoint, most urgent first
	Waiting []jaywind.RequestID // requests that found no endpoint; retried on a full tick

	Journal Journal

	Stopping bool // a graceful shutdown has begun
	Counts   Counts

	commands []Command
}

// Counts are running totals for metrics and tests.
type Counts struct {
	Tokens           int // tokens received and appended to answers
	StrayFrames      int // frames dropped because their request, attempt or position did not match
	Resumed          int // resumes of any kind
	ReusedStreams    int // resumes of a stream that the engine already had
	RecomputedTokens int // tokens that engines had to compute again
	Refused          int
	ThrottledResumes int // times that a resume waited for earlier prefills
	AbandonedResumes int // resumes given up because the backlog was too long
}

// New returns an empty state whose random choices are determined by seed.
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
		Quotas:        Quotas{OverShare: map[jaywind.Organisation]*Organisation{}},
	}
}

// BeginTick sets the inputs of a tick.
func (s *State) BeginTick(now time.Time, full bool, events []Event) {
	s.Now = now
	s.Full = full
	s.Events = events
}

// Emit adds a command to the outputs of the tick.
func (s *State) Emit(c Command) {
	s.commands = append(s.commands, c)
}

// TakeCommands returns the commands of the tick, and clears them and the events.
func (s *State) TakeCommands() []Command {
	out := s.commands
	s.commands = nil
	s.Events = nil
	return out
}

// System is a step of a tick, such as admission or placement.
type System interface {
	Step(s *State)
}
