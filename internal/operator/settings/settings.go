package settings

import (
	"strings"

	"jaywind"
)

// Settings is what a router is told at its start.
type Settings struct {
	VM         string     `toml:"vm"`
	Domain     string     `toml:"domain"`
	Secret     string     `toml:"secret"` // shared by operators and routers
	Listen     Listen     `toml:"listen"`
	Store      Peer       `toml:"store"`
	Directory  Peer       `toml:"directory"`
	Weights    Peer       `toml:"weights"` // loads of versions are not paced when empty
	Fleet      Fleet      `toml:"fleet"`
	Log        Log        `toml:"log"`
	Objectives Objectives `toml:"objectives"`
	Platform   Platform   `toml:"platform"` // the fields above but vm, domain, listen and log are unused with it
}

// Platform is what a router is told that serves on the users' platform.
type Platform struct {
	Store     string   `toml:"store"`     // address of the metadata store
	Region    string   `toml:"region"`    // of this VM
	Ready     string   `toml:"ready"`     // address for the platform's question whether this VM is ready
	Directory string   `toml:"directory"` // address for callers who ask which VM to use
	Memory    int      `toml:"memory"`    // MB that the process may use
	Link      float64  `toml:"link"`      // Mbit/s of this VM\'s network
	Grace     int      `toml:"grace"`     // ms from SIGTERM to SIGKILL
	Seeds     string   `toml:"seeds"`     // fleet addresses of some routers, with commas between them; they may be gone
	Hint      int      `toml:"hint"`      // s that a caller keeps the directory's answer, at most
	Retry     Retry    `toml:"retry"`     // budget of the whole fleet
	Exposure  Exposure `toml:"exposure"`  // of a new version before it is known to be good
}

// SeedList returns the seeds.
func (p Platform) SeedList() []jaywind.Address {
	var all []jaywind.Address
	for at := range strings.SplitSeq(p.Seeds, ",") {
		if at = strings.TrimSpace(at); at != "" {
			all = append(all, jaywind.Address(at))
		}
	}
	return all
}

// Exposure bounds what a bad version may get.
type Exposure struct {
	Share float64 `toml:"share"` // of all requests for its service
	Slack int     `toml:"slack"` // requests besides
}

// Retry is the budget for sends beyond a request's first.
type Retry struct {
	Share  float64 `toml:"share"`  // of the requests for a service
	Spare  float64 `toml:"spare"`  // sends besides
	Window int     `toml:"window"` // s
}

// Listen names the addresses of the router's three ports.
type Listen struct {
	Caller   string `toml:"caller"`
	Operator string `toml:"operator"`
	Fleet    string `toml:"fleet"`
}

// Peer is a service of the platform.
type Peer struct {
	URL string `toml:"url"`
}

// Fleet names routers to begin with, before the VM list answers.
type Fleet struct {
	Seeds     []string `toml:"seeds"`     // fleet addresses, as URLs
	Entries   []string `toml:"entries"`   // caller addresses, as URLs
	Operators []string `toml:"operators"` // operator addresses, as URLs
}

// Log says what is logged.
type Log struct {
	Level string `toml:"level"` // debug, info, warn or error; info when empty
}

// Objectives are the service levels that the burn report measures against.
type Objectives struct {
	Whole  float64 `toml:"whole"`  // share of answers that are whole
	Resume float64 `toml:"resume"` // share of losses after which output goes on within 4 s
	First  float64 `toml:"first"`  // share of first tokens within 0.86 s
	Gap    float64 `toml:"gap"`    // share of token gaps within 34 ms
	Lookup float64 `toml:"lookup"` // share of idempotent lookups within 1 s
	Move   float64 `toml:"move"`   // share of moves done or taken back in time
}

// Name returns the VM's id.
func (s Settings) Name() jaywind.VM { return jaywind.VM(s.VM) }

// withDefaults fills in what may be left out.
func withDefaults(s Settings) Settings {
	if s.Log.Level == "" {
		s.Log.Level = "info"
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
