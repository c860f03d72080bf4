package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Size is how many processes of each kind run.
type Size struct {
	Name                    string
	Routers, Engines, Plain int
	Callers                 int
}

// The sizes.
var (
	Small = Size{Name: "small", Routers: 3, Engines: 4, Plain: 2, Callers: 8}
	Usual = Size{Name: "usual", Routers: 6, Engines: 10, Plain: 4, Callers: 24}
	Large = Size{Name: "large", Routers: 24, Engines: 80, Plain: 16, Callers: 96}
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults. Those of a router or a replica name it by Strike.Target.
const (
	KillRouter     Kind = "kill router"
	StopRouter     Kind = "stop router" // SIGTERM, and a start some time after its end
	PauseRouter    Kind = "pause router"
	ReloadRouter   Kind = "reload router"
	KillAll        Kind = "kill all routers"
	KillReplica    Kind = "kill replica"
	PauseReplica   Kind = "pause replica"
	DrainReplica   Kind = "drain replica"
	FaultReplica   Kind = "fault replica"
	CutReplica     Kind = "cut replica" // one way
	DelayReplica   Kind = "delay replica"
	ResetReplica   Kind = "reset replica"
	SilenceReplica Kind = "silence replica" // open connections, for good
	CutStore       Kind = "cut router from store"
	SilenceStore   Kind = "silence router's connections to the store"
	StoreOutage    Kind = "store outage"
	ForgetHistory  Kind = "store forgets its history"
	Configure      Kind = "new configuration"
	LapseLeases    Kind = "all leases lapse"
	Revoke         Kind = "revoke a key"
	RollOut        Kind = "roll out a version"
)

// weights say how often each kind is drawn, out of their sum.
var weights = map[Kind]int{
	KillRouter: 6, StopRouter: 6, PauseRouter: 4, ReloadRouter: 2, KillAll: 1,
	KillReplica: 8, PauseReplica: 3, DrainReplica: 4, FaultReplica: 20,
	CutReplica: 3, DelayReplica: 3, ResetReplica: 3, SilenceReplica: 3,
	CutStore: 3, SilenceStore: 2, StoreOutage: 3, ForgetHistory: 2, Configure: 5, Revoke: 2,
	LapseLeases: 1, RollOut: 4,
}

// variants of the kinds that have some; a variant of a cut names the direction that is held back.
var variants = map[Kind][]string{
	KillReplica:  {"new id", "same id"},
	FaultReplica: {"shed", "error", "lose", "hang", "extra", "cut", "mute", "jump", "foreign", "encoded"},
	CutReplica:   {"forth", "back"},
	CutStore:     {"forth", "back"},
	StoreOutage:  {"busy", "silent", "mute", "slow", "lost"},
	RollOut:      {"good", "bad"},
}

// Strike is one fault.
type Strike struct {
	At      time.Duration // since the start of traffic
	For     time.Duration // until it is mended, or until what was ended starts again
	Kind    Kind
	Target  int
	Variant string
}

// Plan is all that a run does.
type Plan struct {
	Seed    uint64
	Size    Size
	For     time.Duration // of traffic under faults
	Strikes []Strike
}

const (
	calm      = 1500 * time.Millisecond // of traffic before the first fault
	meanPause = 450 * time.Millisecond  // between two faults; several overlap, as each lasts longer
	longest   = 3 * time.Second         // that a fault lasts
	shortest  = 200 * time.Millisecond
)

// Draw returns the plan of a seed.
func Draw(seed uint64, size Size, during time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // a plan has to be the same for the same seed
	p := Plan{Seed: seed, Size: size, For: during}
	kinds := make([]Kind, 0, len(weights))
	total := 0
	for k, w := range weights {
		kinds = append(kinds, k)
		total += w
	}
	slices.Sort(kinds)
	for at := calm; at < during; at += time.Duration(random.ExpFloat64() * float64(meanPause)) {
		s := Strike{At: at.Round(time.Millisecond), For: shortest + time.Duration(random.Int64N(int64(longest-shortest))).Round(time.Millisecond)}
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
		p.Strikes = append(p.Strikes, s)
	}
	slices.SortStableFunc(p.Strikes, func(a, b Strike) int { return cmp.Compare(a.At, b.At) })
	return p
}
