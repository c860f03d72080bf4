package settings

import (
	"fmt"
	"math"
	"net"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
)

const (
	minSecretBytes = 16
	minFiles       = 256 // a router needs some for the store, other routers and endpoints
	maxRecall      = 60  // s; what a restore brings back of deleted values may be that old

	maxHedgeShare   = 0.2 // more would double much of the work of a service whose calls are all slow
	minUnevenFactor = 1.1 // below it, the noise of the learned speeds of equal endpoints would count
)

// check reports invalid values.
func (p *parser) check(s Settings) {
	p.checkName("vm", s.VM)
	p.checkName("domain", s.Domain)
	if levels := []string{"debug", "info", "warn", "error"}; !slices.Contains(levels, s.Log.Level) {
		p.reportKey("log.level", "want one of "+strings.Join(levels, ", ")+", got "+strconv.Quote(s.Log.Level))
	}
	if s.Platform != (Platform{}) {
		p.checkPlatform(s)
		return
	}
	if len(s.Secret) < minSecretBytes {
		p.reportKey("secret", fmt.Sprintf("want at least %d bytes, got %d", minSecretBytes, len(s.Secret)))
	}
	if s.Memory < 0 {
		p.reportKey("memory", fmt.Sprintf("want 0 or a number of MB, got %d", s.Memory))
	}
	p.checkAddress("listen.caller", s.Listen.Caller)
	p.checkAddress("listen.operator", s.Listen.Operator)
	p.checkAddress("listen.fleet", s.Listen.Fleet)
	p.checkDistinct(s.Listen)
	p.checkURL("store.url", s.Store.URL, true)
	if r := s.Store.Recall; r < 1 || r > maxRecall {
		p.reportKey("store.recall", fmt.Sprintf("want 1 to %d s, got %d", maxRecall, r))
	}
	p.checkURL("directory.url", s.Directory.URL, false)
	p.checkURL("weights.url", s.Weights.URL, false)
	for _, u := range s.Fleet.Seeds {
		p.checkURL("fleet.seeds", u, true)
	}
	for _, u := range s.Fleet.Entries {
		p.checkURL("fleet.entries", u, true)
	}
	for _, u := range s.Fleet.Operators {
		p.checkURL("fleet.operators", u, true)
	}
	p.checkShare("objectives.whole", s.Objectives.Whole)
	p.checkShare("objectives.resume", s.Objectives.Resume)
	p.checkShare("objectives.first", s.Objectives.First)
	p.checkShare("objectives.gap", s.Objectives.Gap)
	p.checkShare("objectives.lookup", s.Objectives.Lookup)
	p.checkShare("objectives.move", s.Objectives.Move)
}

// checkPlatform reports values that are invalid for a router on the users' platform.
func (p *parser) checkPlatform(s Settings) {
	f := s.Platform
	p.checkAddress("listen.caller", s.Listen.Caller)
	p.checkAddress("listen.operator", s.Listen.Operator)
	p.checkDistinct(s.Listen)
	p.checkAddress("platform.store", f.Store)
	p.checkAddress("platform.ready", f.Ready)
	p.checkAddress("platform.directory", f.Directory)
	for _, at := range f.SeedList() {
		p.checkAddress("platform.seeds", string(at))
	}
	p.checkPositive("platform.memory", f.Memory)
	if f.Files != 0 && f.Files < minFiles {
		p.reportKey("platform.files", fmt.Sprintf("want 0 or at least %d descriptors, got %d", minFiles, f.Files))
	}
	p.checkPositive("platform.grace", f.Grace)
	p.checkPositive("platform.hint", f.Hint)
	p.checkPositive("platform.retry.window", f.Retry.Window)
	if f.Retry.Share < 0 || f.Retry.Spare < 0 {
		p.reportKey("platform.retry.share", "want a share and a spare of 0 or more")
	}
	p.checkScheduling(f.Scheduling)
}

func (p *parser) checkScheduling(s Scheduling) {
	if h := s.Hedge; !(h >= 0 && h <= maxHedgeShare) {
		p.reportKey("platform.scheduling.hedge", fmt.Sprintf("want a share from 0 to %v, got %v", maxHedgeShare, h))
	}
	if u := s.UnevenFactor(); u != 0 && !(u >= minUnevenFactor && !math.IsInf(u, 1)) {
		p.reportKey("platform.scheduling.uneven", fmt.Sprintf("want 0 or a factor of at least %v, got %v", minUnevenFactor, u))
	}
}

func (p *parser) checkPositive(key string, value int) {
	if value <= 0 {
		p.reportKey(key, fmt.Sprintf("want a number above 0, got %d", value))
	}
}

// reportKey reports a finding at a key, or at the start of the file if the key is missing. It skips a key whose line
// already has a finding.
func (p *parser) reportKey(key, what string) {
	position, found := p.positions[key]
	if !found {
		p.report(1, 1, key+": missing: "+what)
		return
	}
	if p.reportedLines[position.Line] {
		return
	}
	p.report(position.Line, position.Column, key+": "+what)
}

func (p *parser) checkName(key, value string) {
	if value == "" {
		p.reportKey(key, "want a name")
	}
}

func (p *parser) checkAddress(key, value string) {
	at, err := netip.ParseAddrPort(value)
	if err != nil || at.Port() == 0 {
		p.reportKey(key, "want a numeric address and a port like 10.0.0.1:8101, got "+strconv.Quote(value))
	}
}

func (p *parser) checkDistinct(l Listen) {
	if l.Caller != "" && l.Caller == l.Operator {
		p.reportKey("listen.operator", "same as listen.caller")
	}
	if l.Fleet != "" && (l.Fleet == l.Caller || l.Fleet == l.Operator) {
		p.reportKey("listen.fleet", "same as another port")
	}
}

func (p *parser) checkURL(key, value string, required bool) {
	if value == "" && !required {
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || net.ParseIP(u.Hostname()) == nil {
		p.reportKey(key, "want a URL with a numeric host like http://10.0.0.1:9200, got "+strconv.Quote(value))
	}
}

func (p *parser) checkShare(key string, value float64) {
	if !(value > 0 && value < 1) {
		p.reportKey(key, fmt.Sprintf("want a share between 0 and 1, got %v", value))
	}
}
