package moves

import "time"

// Load is a size of traffic and fleet that one model has.
type Load struct {
	Name     string
	Rate     float64 // requests a second
	Replicas int     // of each version
	Domains  int
	Routers  int
	Length   time.Duration // of the move
	Tick     time.Duration
	Budget   int           // requests before there is proof; 200 for 0
	Plain    bool          // all requests are of one route
	Lag      time.Duration // of a report from router to router
}

// The sizes that are studied: a model of the target's seven, the same over all its routers, a model of today,
// and the least fleet, as the tests with real processes run it.
var (
	Target = Load{Name: "target", Rate: 543, Replicas: 134, Domains: 4, Routers: 8, Length: 5 * time.Minute, Tick: 100 * time.Millisecond, Lag: reportLag}
	Many   = Load{Name: "many", Rate: 543, Replicas: 134, Domains: 4, Routers: 370, Length: 5 * time.Minute, Tick: 100 * time.Millisecond, Lag: callLag}
	Today  = Load{Name: "today", Rate: 5, Replicas: 12, Domains: 3, Routers: 8, Length: 30 * time.Minute, Tick: 500 * time.Millisecond, Lag: reportLag}
	Small  = Load{Name: "small", Rate: 95, Replicas: 3, Domains: 3, Routers: 3, Length: 45 * time.Second, Tick: 50 * time.Millisecond, Lag: 200 * time.Millisecond, Budget: 60, Plain: true}
)

// Kind is a way in which the new version, or its surroundings, behave.
type Kind struct {
	Name  string
	Bad   bool
	Fail  float64 // share of answers that fail when the version is bad
	Hang  float64 // share that never goes on when it is bad
	Slow  float64 // factor on times when it is bad
	Later bool    // it turns bad at a random time of the move
	Load  bool    // it is bad only at a load per replica like the old version's
	Route bool    // it is bad on one route only

	Replica bool // one replica in use dies
	Domain  bool // a failure domain is lost
	Double  bool // the traffic doubles and all answers slow down
	One     bool // all requests come in at one router
}

// Kinds are the cases of the study.
var Kinds = []Kind{
	{Name: "good"},
	{Name: "good, a replica dies", Replica: true},
	{Name: "good, a failure domain is lost", Domain: true},
	{Name: "good, load doubles", Double: true},
	{Name: "good, all at one router", One: true},
	{Name: "half fail", Bad: true, Fail: 0.5},
	{Name: "one in 20 fails", Bad: true, Fail: 0.05},
	{Name: "later, 3 in 10 fail", Bad: true, Fail: 0.3, Later: true},
	{Name: "under load, 3 in 10 fail", Bad: true, Fail: 0.3, Load: true},
	{Name: "one route, 3 in 10 fail", Bad: true, Fail: 0.3, Route: true},
	{Name: "slow", Bad: true, Slow: 1.8},
	{Name: "3 in 10 hang", Bad: true, Hang: 0.3},
	{Name: "half fail, all at one router", Bad: true, Fail: 0.5, One: true},
}
