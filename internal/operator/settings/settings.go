package settings

import (
	"strings"

	"jaywind"
)

// Settings holds the settings of a router, which it reads at its start. The TOML decoder's errors name the fields of this
// package's types, so a renamed field changes what operators read.
type Settings struct {
	VM         string     `toml:"vm"`
	Domain     string     `toml:"domain"`
	Secret     string     `toml:"secret"` // shared by operators and routers
	Memory     int        `toml:"memory"` // MB that the process may use; defaults to 512
	Listen     Listen     `toml:"listen"`
	Store      Store      `toml:"store"`
	Directory  Peer       `toml:"directory"`
	Weights    Peer       `toml:"weights"` // if empty, loads of versions are not paced
	Fleet      Fleet      `toml:"fleet"`
	Log        Log        `toml:"log"`
	Objectives Objectives `toml:"objectives"`
	Platform   Platform   `toml:"platform"` // if set, all fields above are unused except vm, domain, listen and log
}

// Platform holds the settings of a router on the users' platform.
type Platform struct {
	Store     string   `toml:"store"`     // address of the metadata store
	Region    string   `toml:"region"`    // of this VM
	Ready     string   `toml:"ready"`     // address for the platform's readiness checks
	Directory string   `toml:"directory"` // address where callers look up which VM to use
	Memory    int      `toml:"memory"`    // MB that the process may use
	Files     int      `toml:"files"`     // descriptors that the process may use; if 0, what the kernel allows, but at most 3,072
	Link      float64  `toml:"link"`      // Mbit/s of this VM's network
	Grace     int      `toml:"grace"`     // ms from SIGTERM to SIGKILL
	Seeds     string   `toml:"seeds"`     // comma-separated fleet addresses of some routers, which may no longer exist
	Hint      int      `toml:"hint"`      // s for which a caller may cache the directory's answer
	Retry     Retry    `toml:"retry"`     // budget of the whole fleet
	Exposure  Exposure `toml:"exposure"`  // limits for a new version until it is known to be good

	Scheduling Scheduling `toml:"scheduling"`
}

// Scheduling selects how requests are assigned to endpoints. The zero value selects the defaults.
type Scheduling struct {
	Priorities *bool    `toml:"priorities"` // schedule services whose routes have different priorities; defaults to true
	Uneven     *float64 `toml:"uneven"`     // schedule services whose endpoints differ in speed by this factor; 0 for never; defaults to 1.5
	Hedge      float64  `toml:"hedge"`      // share of the repeatable requests of a service that may be hedged, 0 to 0.2; defaults to 0
}

// defaultUneven is the default of Uneven (docs/HARDLOAD.md); the uneven engines seen so far differ by 2.4.
const defaultUneven = 1.5

// UsesPriorities reports whether services whose routes have different priorities are scheduled.
func (s Scheduling) UsesPriorities() bool {
	return s.Priorities == nil || *s.Priorities
}

// UnevenFactor returns the factor between the learned speeds of endpoints from which a service is scheduled, or 0 for never.
func (s Scheduling) UnevenFactor() float64 {
	if s.Uneven == nil {
		return defaultUneven
	}
	return *s.Uneven
}

// plainFactor is by how much more plain services have to be uneven than engines, as the times of their calls vary more.
const plainFactor = 2

// PlainUnevenFactor returns the factor between the learned times of the endpoints of a plain service from which its calls are balanced, or
// 0 for never.
func (s Scheduling) PlainUnevenFactor() float64 { return plainFactor * s.UnevenFactor() }

// SeedList returns the addresses in Seeds.
func (p Platform) SeedList() []jaywind.Address {
	var all []jaywind.Address
	for at := range strings.SplitSeq(p.Seeds, ",") {
		if at = strings.TrimSpace(at); at != "" {
			all = append(all, jaywind.Address(at))
		}
	}
	return all
}

// Exposure limits how many requests a bad version may get.
type Exposure struct {
	Share float64 `toml:"share"` // of all requests for its service
	Slack int     `toml:"slack"` // requests in addition to the share
}

// Retry is the budget for attempts after a request's first.
type Retry struct {
	Share  float64 `toml:"share"`  // of the requests for a service
	Spare  float64 `toml:"spare"`  // attempts in addition to the share
	Window int     `toml:"window"` // s
}

// Listen holds the addresses of the router's three ports.
type Listen struct {
	Caller   string `toml:"caller"`
	Operator string `toml:"operator"`
	Fleet    string `toml:"fleet"`
}

// Peer is the address of another service, such as the store.
type Peer struct {
	URL string `toml:"url"`
}

// Store is the platform's key-value service.
type Store struct {
	URL    string `toml:"url"`
	Recall int    `toml:"recall"` // s for which claims are remembered; no copy to which the service is restored may be older; defaults to 60
}

// Fleet lists routers that are used until the VM list is available.
type Fleet struct {
	Seeds     []string `toml:"seeds"`     // fleet addresses, as URLs
	Entries   []string `toml:"entries"`   // caller addresses, as URLs
	Operators []string `toml:"operators"` // operator addresses, as URLs
}

// Log selects what is logged.
type Log struct {
	Level string `toml:"level"` // debug, info, warn or error; defaults to info
}

// Objectives are the service level objectives of the burn report.
type Objectives struct {
	Whole  float64 `toml:"whole"`  // share of answers that are completed
	Resume float64 `toml:"resume"` // share of failures after which output resumes within 4 s
	First  float64 `toml:"first"`  // share of first tokens within 0.86 s
	Gap    float64 `toml:"gap"`    // share of token gaps within 34 ms
	Lookup float64 `toml:"lookup"` // share of idempotent calls to services answered within 1 s
	Move   float64 `toml:"move"`   // share of moves completed or rolled back by their deadline
}

// Name returns the VM's id.
func (s Settings) Name() jaywind.VM { return jaywind.VM(s.VM) }

const defaultRecall = 60 // s

// withDefaults sets the default values of optional settings.
func withDefaults(s Settings) Settings {
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
	if s.Store.Recall == 0 {
		s.Store.Recall = defaultRecall
	}
	o := &s.Objectives
	for _, share := range []struct {
		at       *float64
		fallback float64
	}{
		{&o.Whole, 0.999},
		{&o.Resume, 0.99},
		{&o.First, 0.95},
		{&o.Gap, 0.95},
		{&o.Lookup, 0.99},
		{&o.Move, 0.95},
	} {
		if *share.at == 0 {
			*share.at = share.fallback
		}
	}
	return s
}
