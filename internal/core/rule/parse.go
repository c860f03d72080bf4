package rule

import (
	"cmp"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"jaywind"
)

// maxNumber is the upper limit of decimal fields, so that their sums stay finite.
const maxNumber = 1e12

// Parse reads the rules in text and returns the set with all findings, ordered by position.
func Parse(file, text string) (*Set, []Finding) {
	p := &parser{file: file, set: NewSet(), positions: map[string]position{}}
	p.readLines(text)
	p.checkReferences()
	slices.SortStableFunc(p.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return p.set, p.findings
}

// position is the position of a rule's name.
type position struct {
	line   int
	column int
}

type parser struct {
	file       string
	lineNumber int
	set        *Set
	findings   []Finding
	positions  map[string]position // of each rule's name, by kind and name
}

func (p *parser) readLines(text string) {
	for i, t := range strings.Split(text, "\n") {
		p.lineNumber = i + 1
		p.readRule(t)
	}
}

func (p *parser) report(column int, what string) {
	p.findings = append(p.findings, Finding{File: p.file, Line: p.lineNumber, Column: column, What: what})
}

func (p *parser) readRule(text string) {
	l := readLine(text, p.report)
	if l == nil {
		return
	}
	read, known := kinds[l.kind.text]
	if !known {
		names := strings.Join(slices.Sorted(maps.Keys(kinds)), ", ")
		p.report(l.kind.column, "unknown rule "+strconv.Quote(l.kind.text)+", want one of "+names)
		return
	}
	set := p.set
	if l.name.text == "" {
		set = NewSet() // a rule without a name is read for its findings only
	}
	read(set, l)
	l.reportUnknown()
	p.recordPosition(l)
}

func (p *parser) recordPosition(l *line) {
	if l.name.text == "" {
		return
	}
	key := l.kind.text + " " + l.name.text
	if first, duplicate := p.positions[key]; duplicate {
		p.report(l.name.column, key+" is already defined (line "+strconv.Itoa(first.line)+")")
		return
	}
	p.positions[key] = position{line: p.lineNumber, column: l.name.column}
}

// kinds maps the first word of a line to the function that reads the rest of it.
var kinds = map[string]func(*Set, *line){
	"endpoint":     readEndpoint,
	"drain":        readDrain,
	"model":        readModel,
	"move":         readMove,
	"organisation": readOrganisation,
	"service":      readService,
	"route":        readRoute,
}

func readEndpoint(s *Set, l *line) {
	e := Endpoint{ID: jaywind.EndpointID(l.name.text), RequestedBy: l.requestedBy}
	e.Kind = Kind(l.oneOf("kind", string(KindEngine), string(KindEngine), string(KindService)))
	if e.Kind == KindEngine {
		e.Model = jaywind.Model(l.text("model"))
		e.Version = jaywind.Version(l.text("version"))
	} else {
		e.Service = jaywind.ServiceName(l.text("service"))
	}
	e.URL = readAddress(l, "url")
	e.Domain = jaywind.Domain(l.text("domain"))
	e.VM = jaywind.VM(l.optional("vm", ""))
	e.Fenced = l.oneOf("fenced", "no", "yes", "no") == "yes"
	s.Endpoints[e.ID] = e
}

func readAddress(l *line, key string) jaywind.Address {
	text := l.text(key)
	if text == "" {
		return ""
	}
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		l.report(l.fields[key].column, key+": want a URL like http://127.0.0.1:9101, got "+strconv.Quote(text))
	}
	return jaywind.Address(strings.TrimRight(text, "/"))
}

func readDrain(s *Set, l *line) {
	id := jaywind.EndpointID(l.name.text)
	s.Drains[id] = Drain{ID: id, RequestedBy: l.requestedBy}
}

func readModel(s *Set, l *line) {
	m := Model{Name: jaywind.Model(l.name.text), RequestedBy: l.requestedBy}
	m.Version = jaywind.Version(l.text("version"))
	s.Models[m.Name] = m
}

func readMove(s *Set, l *line) {
	m := Move{Model: jaywind.Model(l.name.text), RequestedBy: l.requestedBy}
	m.From = jaywind.Version(l.text("from"))
	m.To = jaywind.Version(l.text("to"))
	m.Deadline = l.timestamp("by")
	m.Budget = l.integer("budget", defaultBudget)
	if f, given := l.fields["budget"]; given && m.Budget == 0 {
		l.report(f.column, "budget: must be at least 1; without a request the new version can't be judged")
	}
	if m.From != "" && m.From == m.To {
		l.report(l.fields["to"].column, "to: same version as from")
	}
	s.Moves[m.Model] = m
}

const defaultBudget = 200 // requests

func readOrganisation(s *Set, l *line) {
	o := Organisation{Name: jaywind.Organisation(l.name.text), RequestedBy: l.requestedBy}
	o.Rate = l.decimal("rate", 0)
	o.Burst = l.integer("burst", 0)
	o.Weight = l.integer("weight", 1)
	o.Priority = jaywind.Priority(l.integer("priority", 0))
	s.Organisations[o.Name] = o
}

func readService(s *Set, l *line) {
	v := Service{Name: jaywind.ServiceName(l.name.text), RequestedBy: l.requestedBy}
	v.Path = l.optional("path", "/")
	v.AtMostOnce = l.oneOf("once", "no", "yes", "no") == "yes"
	if !strings.HasPrefix(v.Path, "/") {
		l.report(l.fields["path"].column, "path: must start with /")
	}
	s.Services[v.Name] = v
}

func readRoute(s *Set, l *line) {
	r := Route{Name: jaywind.Route(l.name.text), RequestedBy: l.requestedBy}
	r.Model = jaywind.Model(l.text("model"))
	s.Routes[r.Name] = r
}

// checkReferences reports rules that refer to endpoints, models or versions that are not defined.
func (p *parser) checkReferences() {
	for id := range p.set.Drains {
		if _, found := p.set.Endpoints[id]; !found {
			p.reportAt("drain "+string(id), "no endpoint "+strconv.Quote(string(id)))
		}
	}
	for name, m := range p.set.Moves {
		model, found := p.set.Models[name]
		if !found {
			p.reportAt("move "+string(name), "no model "+strconv.Quote(string(name)))
			continue
		}
		if model.Version != m.From && model.Version != m.To {
			p.reportAt("move "+string(name), "neither from nor to is the model's version, "+strconv.Quote(string(model.Version)))
		}
	}
	for name, r := range p.set.Routes {
		if _, found := p.set.Models[r.Model]; r.Model != "" && !found {
			p.reportAt("route "+string(name), "no model "+strconv.Quote(string(r.Model)))
		}
	}
}

func (p *parser) reportAt(key, what string) {
	at := p.positions[key]
	p.findings = append(p.findings, Finding{File: p.file, Line: at.line, Column: at.column, What: what})
}
