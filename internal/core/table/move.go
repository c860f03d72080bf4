package table

import (
	"time"

	"jaywind"
	"jaywind/internal/core/rule"
)

// MoveID identifies a move of a model; a rule with another deadline is another move.
type MoveID struct {
	Model    jaywind.Model
	From     jaywind.Version
	To       jaywind.Version
	Deadline int64 // deadline in Unix seconds
}

// MoveState is the state of a move.
type MoveState string

// States of a move; the last two are final. Their texts are stored and sent to other routers, so they differ from some of
// the names and must not change.
const (
	MoveRunning    MoveState = "going"
	MoveDone       MoveState = "done"
	MoveRolledBack MoveState = "taken back"
)

// Move is the gradual move of a model's traffic from one version to another.
type Move struct {
	ID         MoveID
	Rule       rule.Move
	State      MoveState
	Reason     string
	Began      time.Time // the earliest time known to any router
	Started    time.Time // when this router created its row
	Ended      time.Time
	Share      float64   // share of the traffic that may go to the new version
	Step       int       // number of the current step of growth
	StepAt     time.Time // when the step began
	Suspicions int       // number of times under suspicion
	Suspect    bool      // under suspicion: growth is stopped and the share reduced
	Confirmed  bool      // the store or a peer has confirmed that no final state is on record
	Proposed   bool      // the new version has passed all steps and the store is asked to record it
	Recorded   bool      // the final state is recorded in the store

	Sizes              Sizes
	Starts             int                // requests that this router has started on the new version
	Withheld           int                // requests withheld from the new version by this router's part of the budget
	WithheldReported   int                // Withheld as of the last report
	BudgetGiven        map[jaywind.VM]int // total of this router's part of the budget passed on to each other router
	PeerWithheld       map[jaywind.VM]int // Withheld as last seen in the reports of other routers
	Proof              Proof
	Evidence           Evidence
	Relay              Relay
	Observations       map[jaywind.RequestID]*Observation
	StoreAskedAt       time.Time // when the record in the store was last requested or written
	ReportedAt         time.Time // when the last report was sent
	UnreportedFailures bool      // failures on the new version that no report has included yet
	ReportsSent        uint64    // number of reports sent
}

// Proof counts the outcomes on the new version that count towards its acceptance.
type Proof struct {
	Step   uint64                          // outcomes since the step began
	Loaded uint64                          // outcomes at a load per replica comparable to the old version's
	Routes map[jaywind.Route]RouteOutcomes // outcomes on each route
}

// Sizes counts the endpoints that the rules list for a move.
type Sizes struct {
	Rules      *rule.Set // the rules that were counted
	Old        int       // replicas of the old version that are not drained
	New        int       // the same for the new version
	Domains    int
	NewDomains int // failure domains that hold replicas of the new version
}

// RouteOutcomes counts the outcomes of one route on each version.
type RouteOutcomes struct {
	Old uint64
	New uint64
}

// Observation is a request whose outcome counts for a move.
type Observation struct {
	New          bool
	Route        jaywind.Route
	Attempt      jaywind.Attempt
	Endpoint     jaywind.EndpointID
	Opened       time.Time
	FirstFrameAt time.Time // when the attempt's first frame arrived
	LastFrameAt  time.Time // when its last frame arrived
	Frames       int       // frames of the attempt
	Judged       bool      // the attempt has been counted as a failure or success
	DigestTick   time.Time // tick in which Digest and Position are current; they advance with each of its frames
	Digest       jaywind.Digest
	Position     jaywind.Position
}

// ReportKind is the purpose of a report.
type ReportKind int

// Kinds of reports.
const (
	ReportTotals      ReportKind = iota // running totals, counted by each collector that receives them
	ReportToCollector                   // running totals of a single router, for one collector
	ReportDecision                      // a collector's decisions, for the routers that report to it
)

// Relay is how the totals of a move are aggregated: a router is a collector itself or reports to one.
type Relay struct {
	Collector      jaywind.VM               // where this router reports to; itself if it is a collector
	Since          time.Time                // start of reporting to Collector, and of the current stream of reports
	Members        map[jaywind.VM]time.Time // routers that report to this one, with the time of their last report
	Peers          map[jaywind.VM]time.Time // other collectors, with the time of their last report
	Excluded       map[jaywind.VM]time.Time // collectors that did not answer, and until when they are not chosen
	DecisionAt     time.Time                // when the collector last sent its decisions
	DecisionNumber uint64                   // number of the collector's last decisions
	Collectors     []jaywind.Member         // collectors, in order of preference
	DomainRank     int                      // rank of this router in its failure domain, which selects one of several collectors
	Epoch          uint64                   // Fleet.Epoch at which Collectors were chosen
}

// Report is what a router tells others about a move: its running totals, or a collector's decisions.
type Report struct {
	Kind        ReportKind
	Move        MoveID
	From        jaywind.VM
	To          jaywind.VM // receiver of a ReportToCollector
	Stream      int64      // identifies one of the router's streams of reports; its start in Unix nanoseconds
	Number      uint64     // sequence number of the report within the stream
	Partial     bool       // counts that have not changed since the last report are left out
	Share       float64    // set in a ReportDecision
	Unconfirmed bool       // the sender does not know whether the move has already ended
	Began       int64      // Move.Began as known to the sender, in Unix nanoseconds
	Step        int
	State       MoveState
	Reason      string
	Recorded    bool               // the final state is recorded in the store
	Withheld    int                // Move.Withheld of the sender
	BudgetGiven map[jaywind.VM]int // Move.BudgetGiven of the sender
	Outcomes    map[OutcomeKey]OutcomeCounts
}

// ReportReceived is a report from another router.
type ReportReceived struct{ Report Report }

// MoveRecorded is the store's record of a move; State is MoveRunning if there is none.
type MoveRecorded struct {
	Move   MoveID
	State  MoveState
	Reason string
	At     time.Time
}

// LoadTimedOut reports that an endpoint has not loaded the version that it was ordered to load in time.
type LoadTimedOut struct {
	Move   MoveID
	Reason string
}

// SendReport sends a report to some routers, or to all if To is empty; the end of a move is always sent to all.
type SendReport struct {
	Report Report
	To     []jaywind.VM
}

// PublishDecision sets the decisions with which this router, as a collector, answers reports.
type PublishDecision struct{ Report Report }

// ReportUndelivered reports that a report could not be delivered to a collector.
type ReportUndelivered struct {
	Move      MoveID
	Collector jaywind.VM
}

// ReadMoveRecord reads the final state of a move from the store.
type ReadMoveRecord struct{ Move MoveID }

// WriteMoveRecord writes the final state of a move to the store, unless one is already recorded.
type WriteMoveRecord struct {
	Move   MoveID
	State  MoveState
	Reason string
	At     time.Time
}

// DesiredState is the state that an endpoint should reach.
type DesiredState struct {
	Move     MoveID
	Endpoint jaywind.EndpointID
	Address  jaywind.Address
	Fenced   bool
	Version  jaywind.Version
	Loaded   bool
	LoadBy   time.Time // when the new version should be loaded; zero for no deadline
}

// SetDesiredStates passes the desired endpoint states of all moves to the leader.
type SetDesiredStates struct{ States []DesiredState }

func (ReportReceived) event()     {}
func (MoveRecorded) event()       {}
func (LoadTimedOut) event()       {}
func (ReportUndelivered) event()  {}
func (SendReport) command()       {}
func (PublishDecision) command()  {}
func (ReadMoveRecord) command()   {}
func (WriteMoveRecord) command()  {}
func (SetDesiredStates) command() {}
