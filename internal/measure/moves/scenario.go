package moves

import "time"

// Workload is the traffic of one model and the size of the fleet that serves it.
type Workload struct {
	Name        string
	RequestRate float64 // requests per second
	Replicas    int     // of each version
	Domains     int
	Routers     int
	Duration    time.Duration // time until the move's deadline
	Tick        time.Duration
	Budget      int           // requests that may start on the new version before it is known to be good; 200 when zero
	SingleRoute bool          // all requests have the same route
	ReportDelay time.Duration // delay of a report from router to router
}

// The simulated workloads: one of the seven models of the fleet that the router is specified for, with 8 and with all 370
// routers; a model at the current traffic; and the smallest fleet, as in the tests of cmd/jaywind.
var (
	Target     = Workload{Name: "target", RequestRate: 543, Replicas: 134, Domains: 4, Routers: 8, Duration: 5 * time.Minute, Tick: 100 * time.Millisecond, ReportDelay: reportDelay}
	AllRouters = Workload{Name: "many", RequestRate: 543, Replicas: 134, Domains: 4, Routers: 370, Duration: 5 * time.Minute, Tick: 100 * time.Millisecond, ReportDelay: hopDelay}
	Current    = Workload{Name: "today", RequestRate: 5, Replicas: 12, Domains: 3, Routers: 8, Duration: 30 * time.Minute, Tick: 500 * time.Millisecond, ReportDelay: reportDelay}
	Small      = Workload{Name: "small", RequestRate: 95, Replicas: 3, Domains: 3, Routers: 3, Duration: 45 * time.Second, Tick: 50 * time.Millisecond, ReportDelay: 200 * time.Millisecond, Budget: 60, SingleRoute: true}
)

// Scenario describes how the new version is bad, if it is, and which fault of the environment occurs.
type Scenario struct {
	Name          string
	Bad           bool
	FailureRate   float64 // share of answers that fail while the version is bad
	HangRate      float64 // share of answers that never get a token while it is bad
	Slowdown      float64 // factor on latencies while it is bad
	LateFault     bool    // it becomes bad at a random time during the move
	UnderLoadOnly bool    // it is bad only on replicas about as loaded as those of the old version
	OneRouteOnly  bool    // it is bad on one route only

	ReplicaDies bool // one replica of the new version dies
	DomainLost  bool // a failure domain is lost
	LoadDoubles bool // the traffic doubles and all answers get slower
	OneRouter   bool // all requests arrive at one router
}

// Scenarios are the simulated scenarios.
var Scenarios = []Scenario{
	{Name: "good"},
	{Name: "good, a replica dies", ReplicaDies: true},
	{Name: "good, a failure domain is lost", DomainLost: true},
	{Name: "good, load doubles", LoadDoubles: true},
	{Name: "good, all at one router", OneRouter: true},
	{Name: "half fail", Bad: true, FailureRate: 0.5},
	{Name: "one in 20 fails", Bad: true, FailureRate: 0.05},
	{Name: "later, 3 in 10 fail", Bad: true, FailureRate: 0.3, LateFault: true},
	{Name: "under load, 3 in 10 fail", Bad: true, FailureRate: 0.3, UnderLoadOnly: true},
	{Name: "one route, 3 in 10 fail", Bad: true, FailureRate: 0.3, OneRouteOnly: true},
	{Name: "slow", Bad: true, Slowdown: 1.8},
	{Name: "3 in 10 hang", Bad: true, HangRate: 0.3},
	{Name: "half fail, all at one router", Bad: true, FailureRate: 0.5, OneRouter: true},
}
