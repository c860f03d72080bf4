package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Size is the number of processes of each kind; Plain counts the replicas of the plain service.
type Size struct {
	Name                    string
	Routers, Engines, Plain int
	Callers                 int
}

// The predefined sizes.
var (
	Small = Size{Name: "small", Routers: 3, Engines: 4, Plain: 2, Callers: 8}
	Usual = Size{Name: "usual", Routers: 6, Engines: 10, Plain: 4, Callers: 24}
	Large = Size{Name: "large", Routers: 24, Engines: 80, Plain: 16, Callers: 96}
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults. Those of one router or replica select it by Fault.Target.
const (
	KillRouter       FaultKind = "kill router"
	StopRouter       FaultKind = "stop router" // SIGTERM, and a restart after Fault.Duration
	PauseRouter      FaultKind = "pause router"
	ReloadRouter     FaultKind = "reload router"
	KillAll          FaultKind = "kill all routers"
	KillReplica      FaultKind = "kill replica"
	PauseReplica     FaultKind = "pause replica"
	DrainReplica     FaultKind = "drain replica"
	FaultReplica     FaultKind = "fault replica"
	CutReplica       FaultKind = "cut replica" // in one direction
	DelayReplica     FaultKind = "delay replica"
	ResetReplica     FaultKind = "reset replica"
	BlackholeReplica FaultKind = "silence replica" // permanently, on the connections that are open
	CutStore         FaultKind = "cut router from store"
	BlackholeStore   FaultKind = "silence router's connections to the store"
	StoreOutage      FaultKind = "store outage"
	ForgetHistory    FaultKind = "store forgets its history"
	Configure        FaultKind = "new configuration"
	ExpireLeases     FaultKind = "all leases lapse"
	Revoke           FaultKind = "revoke a key"
	RollOut          FaultKind = "roll out a version"

	RestoreStore FaultKind = "restore store"  // from a copy that is Fault.Duration old
	LeaveReplica FaultKind = "replica leaves" // and says so in its answers only
	PauseCalls   FaultKind = "replica asks for pauses"

	FloodReplica FaultKind = "replica floods"      // sends bytes without end
	StallEngines FaultKind = "engines fall silent" // and go on
	CrashEngines FaultKind = "part that crashes engines"

	LimitReplicas FaultKind = "replicas name a limit"
	RepeatDeadly  FaultKind = "request that crashes replicas"

	CutLinks FaultKind = "cut routers from all replicas"

	BurstBulk FaultKind = "burst of bulk streams, engines of a domain crash"

	PauseEngines FaultKind = "all engines pause" // several times
)

// weights are the relative frequencies of the kinds.
var weights = map[FaultKind]int{
	KillRouter: 6, StopRouter: 6, PauseRouter: 4, ReloadRouter: 2, KillAll: 1,
	KillReplica: 8, PauseReplica: 3, DrainReplica: 4, FaultReplica: 20,
	CutReplica: 3, DelayReplica: 3, ResetReplica: 3, BlackholeReplica: 3,
	CutStore: 3, BlackholeStore: 2, StoreOutage: 3, ForgetHistory: 2, Configure: 5, Revoke: 2,
	ExpireLeases: 1, RollOut: 4,
}

// laterWeights and troubleWeights are those of the kinds that were added after plans had been kept. Each is drawn separately, so
// that a seed still gives the same faults of the other kinds.
var (
	laterWeights   = map[FaultKind]int{RestoreStore: 2, LeaveReplica: 2, PauseCalls: 3}
	troubleWeights = map[FaultKind]int{StallEngines: 3, CrashEngines: 2}
)

// floodWeights and those after it are the same, each drawn separately from laterWeights.
var (
	floodWeights  = map[FaultKind]int{FloodReplica: 1}
	demandWeights = map[FaultKind]int{LimitReplicas: 1}
	deadlyWeights = map[FaultKind]int{RepeatDeadly: 1}
	linkWeights   = map[FaultKind]int{CutLinks: 1}
	burstWeights  = map[FaultKind]int{BurstBulk: 1}
	pauseWeights  = map[FaultKind]int{PauseEngines: 1}
)

// variants lists the variants of a kind, if any. Those of a cut name the blocked direction:
// forth is towards the replica or the store, back is away from it.
var variants = map[FaultKind][]string{
	KillReplica:   {"new id", "same id"},
	FaultReplica:  {"shed", "error", "lose", "hang", "extra", "cut", "mute", "jump", "foreign", "encoded"},
	FloodReplica:  {"head", "interim", "body", "chunks", "after", "blank", "line", "repeat"},
	CutReplica:    {"forth", "back"},
	CutStore:      {"forth", "back"},
	StoreOutage:   {"busy", "silent", "mute", "slow", "lost"},
	RollOut:       {"good", "bad"},
	LimitReplicas: {"one", "all of a service"},
	RepeatDeadly:  {"idempotent", "once"},
	CutLinks:      {"one silent", "one reset", "one new", "one hang", "one replies", "most silent", "most reset", "most replies"},
	PauseEngines:  {"together", "overlapping", "together, new configurations", "overlapping, new configurations"},
	StallEngines:  {"stop one", "stop many", "stop many, new configuration", "hold one", "hold many", "hold many, new configuration"},
}

// Fault is one fault to inject.
type Fault struct {
	Start    time.Duration `json:"At"`  // since the start of traffic
	Duration time.Duration `json:"For"` // until the fault is removed or the process is restarted
	Kind     FaultKind
	Target   int
	Variant  string
}

// Plan holds the parameters and the faults of a run.
type Plan struct {
	Seed     uint64
	Size     Size
	Duration time.Duration `json:"For"` // of traffic under faults
	Faults   []Fault       `json:"Strikes"`
}

const (
	warmUp       = 1500 * time.Millisecond // traffic before the first fault
	burstStart   = 4 * time.Second         // of the first burst, when the faults of all kinds that begin with the first one are over
	meanInterval = 450 * time.Millisecond  // between two faults; faults overlap, as most last longer than this
	meanLater    = 1600 * time.Millisecond // the same for laterWeights
	meanFlood    = 4 * time.Second         // the same for floodWeights
	meanTrouble  = 2500 * time.Millisecond // the same for troubleWeights
	meanDemand   = 5 * time.Second         // the same for demandWeights
	meanDeadly   = 12 * time.Second        // the same for deadlyWeights
	meanLinks    = 4 * time.Second         // the same for linkWeights
	meanBurst    = 8 * time.Second         // the same for burstWeights
	meanPause    = 8 * time.Second         // the same for pauseWeights
	maxFaultTime = 3 * time.Second         // duration of a fault
	minFaultTime = 200 * time.Millisecond
)

// NewPlan returns the plan that a seed generates.
func NewPlan(seed uint64, size Size, during time.Duration) Plan {
	p := Plan{Seed: seed, Size: size, Duration: during}
	p.draw(rand.New(rand.NewPCG(seed, 0)), warmUp, weights, meanInterval)       //nolint:gosec // the same seed must give the same plan
	p.draw(rand.New(rand.NewPCG(seed, 1)), warmUp, laterWeights, meanLater)     //nolint:gosec // as above
	p.draw(rand.New(rand.NewPCG(seed, 2)), warmUp, troubleWeights, meanTrouble) //nolint:gosec // as above
	p.draw(rand.New(rand.NewPCG(seed, 3)), warmUp, floodWeights, meanFlood)     //nolint:gosec // as above
	p.draw(rand.New(rand.NewPCG(seed, 4)), warmUp, demandWeights, meanDemand)   //nolint:gosec // as above
	p.draw(rand.New(rand.NewPCG(seed, 5)), warmUp, deadlyWeights, meanDeadly)   //nolint:gosec // as above
	if p.CutsLinks() {
		p.draw(rand.New(rand.NewPCG(seed, 6)), warmUp, linkWeights, meanLinks) //nolint:gosec // as above
	}
	p.draw(rand.New(rand.NewPCG(seed, 7)), burstStart, burstWeights, meanBurst) //nolint:gosec // as above
	p.draw(rand.New(rand.NewPCG(seed, 8)), warmUp, pauseWeights, meanPause)     //nolint:gosec // as above
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.Start, b.Start) })
	return p
}

// CutsLinks reports whether links of routers to replicas are cut. Its routers are stand-in processes that run the same router.
func (p Plan) CutsLinks() bool { return p.Seed%2 == 1 }

// draw adds faults of the kinds in weights, the first one at a time and the others at random times after it.
func (p *Plan) draw(random *rand.Rand, first time.Duration, weights map[FaultKind]int, interval time.Duration) {
	kinds := make([]FaultKind, 0, len(weights))
	total := 0
	for k, w := range weights {
		kinds = append(kinds, k)
		total += w
	}
	slices.Sort(kinds)
	for at := first; at < p.Duration; at += time.Duration(random.ExpFloat64() * float64(interval)) {
		s := Fault{Start: at.Round(time.Millisecond), Duration: minFaultTime + time.Duration(random.Int64N(int64(maxFaultTime-minFaultTime))).Round(time.Millisecond)}
		n := random.IntN(total)
		for _, k := range kinds {
			if n -= weights[k]; n < 0 {
				s.Kind = k
				break
			}
		}
		s.Target = random.IntN(1 << 20)
		if all := variants[s.Kind]; len(all) > 0 {
			s.Variant = all[random.IntN(len(all))]
		}
		p.Faults = append(p.Faults, s)
	}
}
