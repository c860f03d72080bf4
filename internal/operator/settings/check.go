package settings

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
)

const minSecret = 16 // bytes

// check reports values that can't be used.
func (p *parser) check(s Settings) {
	p.required("vm", s.VM)
	p.required("domain", s.Domain)
	if levels := []string{"debug", "info", "warn", "error"}; !slices.Contains(levels, s.Log.Level) {
		p.at("log.level", "want one of "+strings.Join(levels, ", ")+", got "+strconv.Quote(s.Log.Level))
	}
	if s.Platform != (Platform{}) {
		p.checkPlatform(s)
		return
	}
	if len(s.Secret) < minSecret {
		p.at("secret", fmt.Sprintf("want at least %d bytes, got %d", minSecret, len(s.Secret)))
	}
	p.listen("listen.caller", s.Listen.Caller)
	p.listen("listen.operator", s.Listen.Operator)
	p.listen("listen.fleet", s.Listen.Fleet)
	p.distinct(s.Listen)
	p.url("store.url", s.Store.URL, true)
	p.url("directory.url", s.Directory.URL, false)
	p.url("weights.url", s.Weights.URL, false)
	for _, u := range s.Fleet.Seeds {
		p.url("fleet.seeds", u, true)
	}
	for _, u := range s.Fleet.Entries {
		p.url("fleet.entries", u, true)
	}
	for _, u := range s.Fleet.Operators {
		p.url("fleet.operators", u, true)
	}
	p.share("objectives.whole", s.Objectives.Whole)
	p.share("objectives.resume", s.Objectives.Resume)
	p.share("objectives.first", s.Objectives.First)
	p.share("objectives.gap", s.Objectives.Gap)
	p.share("objectives.lookup", s.Objectives.Lookup)
	p.share("objectives.move", s.Objectives.Move)
}

// checkPlatform reports values that a router on the users' platform can't use.
func (p *parser) checkPlatform(s Settings) {
	f := s.Platform
	p.listen("listen.caller", s.Listen.Caller)
	p.listen("listen.operator", s.Listen.Operator)
	p.distinct(s.Listen)
	p.listen("platform.store", f.Store)
	p.listen("platform.ready", f.Ready)
	p.listen("platform.directory", f.Directory)
	for _, at := range f.SeedList() {
		p.listen("platform.seeds", string(at))
	}
	p.positive("platform.memory", f.Memory)
	p.positive("platform.grace", f.Grace)
	p.positive("platform.hint", f.Hint)
	p.positive("platform.retry.window", f.Retry.Window)
	if f.Retry.Share < 0 || f.Retry.Spare < 0 {
		p.at("platform.retry.share", "want no negative budget")
	}
}

func (p *parser) positive(key string, value int) {
	if value <= 0 {
		p.at(key, fmt.Sprintf("want a number above 0, got %d", value))
	}
}

// at reports a finding at a key, or at the start of the file when the key is missing.
func (p *parser) at(key, what string) {
	place, found := p.places[key]
	if !found {
		p.report(1, 1, key+": missing: "+what)
		return
	}
	if p.faulty[place.Line] {
		return
	}
	p.report(place.Line, place.Column, key+": "+what)
}

func (p *parser) required(key, value string) {
	if value == "" {
		p.at(key, "want a name")
	}
}

func (p *parser) listen(key, value string) {
	at, err := netip.ParseAddrPort(value)
	if err != nil || at.Port() == 0 {
		p.at(key, "want a numeric address and a port like 10.0.0.1:8101, got "+strconv.Quote(value))
	}
}

func (p *parser) distinct(l Listen) {
	if l.Caller != "" && l.Caller == l.Operator {
		p.at("listen.operator", "same as listen.caller")
	}
	if l.Fleet != "" && (l.Fleet == l.Caller || l.Fleet == l.Operator) {
		p.at("listen.fleet", "same as another port")
	}
}

func (p *parser) url(key, value string, required bool) {
	if value == "" && !required {
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || net.ParseIP(u.Hostname()) == nil {
		p.at(key, "want a URL with a numeric host like http://10.0.0.1:9200, got "+strconv.Quote(value))
	}
}

func (p *parser) share(key string, value float64) {
	if !(value > 0 && value < 1) {
		p.at(key, fmt.Sprintf("want a share between 0 and 1, got %v", value))
	}
}
