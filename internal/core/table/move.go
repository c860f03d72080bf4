package table

import (
	"time"

	"jaywind"
	"jaywind/internal/core/rule"
)

// MoveID identifies one move of a model; a rule with another time is another move.
type MoveID struct {
	Model jaywind.Model
	From  jaywind.Version
	To    jaywind.Version
	By    int64 // Unix seconds
}

// MoveState is how far a move has got.
type MoveState string

// The states of a move; the last two are final.
const (
	MoveGoing MoveState = "going"
	MoveDone  MoveState = "done"
	MoveBack  MoveState = "taken back"
)

// Move is one move of a model's traffic between versions.
type Move struct {
	ID         MoveID
	Rule       rule.Move
	State      MoveState
	Reason     string
	Began      time.Time // as far as any router knows
	Started    time.Time // of this router's row
	Ended      time.Time
	Share      float64 // of the traffic, that may go to the new version
	Step       int     // of the growth
	StepAt     time.Time
	Suspicions int  // so far
	Suspect    bool // growth is stopped and the share halved
	Known      bool // no final state is on record, as the store or a peer has said
	Proposed   bool // the new version has proved itself and the store is asked to record it
	Recorded   bool // the final state is in the store

	Sizes    Sizes
	Starts   int                // on the new version by this router
	Short    int                // requests that its part of the budget kept back
	ShortAt  int                // the same at the last report
	Given    map[jaywind.VM]int // of its part of the budget, given to other routers in all
	Needs    map[jaywind.VM]int // requests that other routers have reported to be kept back
	Proof    Proof
	Evidence Evidence
	Relay    Relay
	Trials   map[jaywind.RequestID]*Trial
	AskedAt  time.Time // when the record was last asked for or written
	ToldAt   time.Time // when the last report was emitted
	Fresh    bool      // bad outcomes on the new version that were not told yet
	Told     uint64    // reports emitted
}

// Proof counts the outcomes on the new version that speak for it.
type Proof struct {
	Step   uint64                   // outcomes since the step began
	Loaded uint64                   // outcomes at a load per replica like the old version's
	Routes map[jaywind.Route]Passed // outcomes on each route
}

// Sizes counts the endpoints that the rules hold for a move.
type Sizes struct {
	Rules   *rule.Set // that were counted
	Old     int       // replicas of the old version that are not drained
	New     int       // the same of the new version
	Domains int
	Spread  int // domains that hold replicas of the new version
}

// Passed counts the outcomes of one route on each version.
type Passed struct {
	Old uint64
	New uint64
}

// Trial is a request that is observed for a move.
type Trial struct {
	New      bool
	Route    jaywind.Route
	Attempt  jaywind.Attempt
	Endpoint jaywind.EndpointID
	Opened   time.Time
	First    time.Time // when the attempt's first frame came
	Last     time.Time // when its last frame came
	Frames   int       // of the attempt
	Judged   bool      // the attempt has counted as a failure or success
	Tick     time.Time // up to which Digest and Position hold all tokens taken
	Digest   jaywind.Digest
	Position jaywind.Position
}

// ReportKind is what a report is for.
type ReportKind int

// The kinds of reports.
const (
	ReportSum  ReportKind = iota // running totals that count for each collector that hears them
	ReportPart                   // running totals of one router alone, for one collector
	ReportLead                   // what a collector has decided, for the routers that report to it
)

// Relay is how the totals of a move travel: a router collects, or reports to one that does.
type Relay struct {
	Collector jaywind.VM               // that this router reports to; itself when it collects
	Since     time.Time                // when that began, and with it the stream of reports
	Members   map[jaywind.VM]time.Time // routers that report to this one, and when they last did
	Peers     map[jaywind.VM]time.Time // other collectors that were heard, and when
	Shunned   map[jaywind.VM]time.Time // collectors that did not answer, and until when they are left out
	LedAt     time.Time                // when the collector last told its decisions
	Lead      uint64                   // number of the last lead
	Chosen    []jaywind.Member         // collectors, best first
	Place     int                      // of this router in its failure domain, by which one of several collectors is taken
	Epoch     uint64                   // of the list of members from which they were chosen
}

// Report is a router's running totals for a move, as it tells them to the others.
type Report struct {
	Kind    ReportKind
	Move    MoveID
	From    jaywind.VM
	To      jaywind.VM // of a part
	Life    int64      // distinguishes the streams of reports of a router, Unix nanoseconds
	Number  uint64     // of the report within the life
	Partial bool       // cells that have not changed since the last report are left out
	Share   float64    // of a lead
	Blind   bool       // its router does not know whether the move still stands
	Began   int64      // of the move as known there, Unix nanoseconds
	Step    int
	State   MoveState
	Reason  string
	Final   bool               // the state is in the store
	Short   int                // requests that the budget kept back at its router
	Given   map[jaywind.VM]int // parts of the budget that its router has given away
	Tallies map[Cell]Tally
}

// Reported is a Report of another router.
type Reported struct{ Report Report }

// Recorded is what the store holds of a move; State is MoveGoing when it holds nothing.
type Recorded struct {
	Move   MoveID
	State  MoveState
	Reason string
	At     time.Time
}

// Stalled says that an ordered load did not come true by its time.
type Stalled struct {
	Move   MoveID
	Reason string
}

// Tell spreads a report to some routers, or to all when none is named; the end of a move goes to all in any case.
type Tell struct {
	Report Report
	To     []jaywind.VM
}

// Lead publishes the decisions that this router, as a collector, answers reports with.
type Lead struct{ Report Report }

// Unheard says that a collector could not be handed a report.
type Unheard struct {
	Move      MoveID
	Collector jaywind.VM
}

// Recall asks the store for the final state of a move.
type Recall struct{ Move MoveID }

// Record writes the final state of a move into the store, unless another is there.
type Record struct {
	Move   MoveID
	State  MoveState
	Reason string
	At     time.Time
}

// Want is the state that an endpoint should come to.
type Want struct {
	Move     MoveID
	Endpoint jaywind.EndpointID
	At       jaywind.Address
	Fenced   bool
	Version  jaywind.Version
	Loaded   bool
	Due      time.Time // when the new version should be loaded; zero for no time
}

// Steer hands the wanted states of all moves to the leader.
type Steer struct{ Wants []Want }

func (Reported) event() {}
func (Recorded) event() {}
func (Stalled) event()  {}
func (Unheard) event()  {}
func (Tell) command()   {}
func (Lead) command()   {}
func (Recall) command() {}
func (Record) command() {}
func (Steer) command()  {}
