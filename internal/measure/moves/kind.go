package moves

import "time"

// Workload is a size of traffic and fleet that one model has.
type Workload struct {
	Name        string
	RequestRate float64 // requests a second
	Replicas    int     // of each version
	Domains     int
	Routers     int
	Duration    time.Duration // of the move
	Tick        time.Duration
	Budget      int           // requests before there is proof; 200 for 0
	SingleRoute bool          // all requests are of one route
	ReportDelay time.Duration // of a report from router to router
}

// The sizes that are studied: a model of the target's seven, the same over all its routers, a model of today,
// and the least fleet, as the tests with real processes run it.
var (
	Target     = Workload{Name: "target", RequestRate: 543, Replicas: 134, Domains: 4, Routers: 8, Duration: 5 * time.Minute, Tick: 100 * time.Millisecond, ReportDelay: reportDelay}
	AllRouters = Workload{Name: "many", RequestRate: 543, Replicas: 134, Domains: 4, Routers: 370, Duration: 5 * time.Minute, Tick: 100 * time.Millisecond, ReportDelay: hopDelay}
	Current    = Workload{Name: "today", RequestRate: 5, Replicas: 12, Domains: 3, Routers: 8, Duration: 30 * time.Minute, Tick: 500 * time.Millisecond, ReportDelay: reportDelay}
	Small      = Workload{Name: "small", RequestRate: 95, Replicas: 3, Domains: 3, Routers: 3, Duration: 45 * time.Second, Tick: 50 * time.Millisecond, ReportDelay: 200 * time.Millisecond, Budget: 60, SingleRoute: true}
)

// Scenario is a way in which the new version, or its surroundings, behave.
type Scenario struct {
	Name          string
	Bad           bool
	FailureRate   float64 // share of answers that fail when the version is bad
	HangRate      float64 // share that never goes on when it is bad
	Slowdown      float64 // factor on times when it is bad
	LateFault     bool    // it turns bad at a random time of the move
	UnderLoadOnly bool    // it is bad only at a load per replica like the old version's
	OneRouteOnly  bool    // it is bad on one route only

	ReplicaDies bool // one replica in use dies
	DomainLost  bool // a failure domain is lost
	LoadDoubles bool // the traffic doubles and all answers slow down
	OneRouter   bool // all requests come in at one router
}

// Scenarios are the cases of the study.
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
