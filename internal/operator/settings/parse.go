package settings

import (
	"bytes"
	"cmp"
	"errors"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"

	"jaywind/internal/core/rule"
)

// maxTypeErrors bounds how many lines with values of a wrong type are reported.
const maxTypeErrors = 100

// Parse reads settings and returns them with all findings, sorted by line and column.
func Parse(file, text string) (Settings, []rule.Finding) {
	p := &parser{file: file}
	s := p.decode([]byte(text))
	s = withDefaults(s)
	p.positions = keyPositions([]byte(text))
	p.check(s)
	slices.SortStableFunc(p.findings, func(a, b rule.Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return s, p.findings
}

type parser struct {
	file          string
	findings      []rule.Finding
	positions     map[string]unstable.Position
	reportedLines map[int]bool // lines that have a finding
}

func (p *parser) report(line, column int, what string) {
	if p.reportedLines == nil {
		p.reportedLines = map[int]bool{}
	}
	p.reportedLines[line] = true
	p.findings = append(p.findings, rule.Finding{File: p.file, Line: line, Column: column, What: what})
}

// decode parses the text. The TOML decoder stops at the first error, so decode reports it, blanks its line and parses
// again, to find all errors.
func (p *parser) decode(text []byte) Settings {
	text = bytes.Clone(text)
	for range maxTypeErrors {
		var s Settings
		d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
		err := d.Decode(&s)
		var strict *toml.StrictMissingError
		var fault *toml.DecodeError
		switch {
		case err == nil:
			return s
		case errors.As(err, &strict):
			p.reportUnknown(strict)
			return s
		case errors.As(err, &fault):
			line, column := fault.Position()
			p.report(line, column, strings.TrimPrefix(fault.Error(), "toml: "))
			if !blankLine(text, line) {
				return s
			}
		default:
			p.report(1, 1, err.Error())
			return s
		}
	}
	return Settings{}
}

func (p *parser) reportUnknown(e *toml.StrictMissingError) {
	for i := range e.Errors {
		line, column := e.Errors[i].Position()
		p.report(line, column, "unknown key "+strings.Join(e.Errors[i].Key(), "."))
	}
}

// blankLine overwrites a line with spaces and reports whether it was not blank before.
func blankLine(text []byte, number int) bool {
	lines := bytes.SplitAfter(text, []byte("\n"))
	if number < 1 || number > len(lines) {
		return false
	}
	line := bytes.TrimRight(lines[number-1], "\r\n")
	blank := len(bytes.TrimSpace(line)) == 0
	for i := range line {
		line[i] = ' '
	}
	return !blank
}

// keyPositions returns the position of each key in the text.
func keyPositions(text []byte) map[string]unstable.Position {
	positions := map[string]unstable.Position{}
	p := unstable.Parser{}
	p.Reset(text)
	var table []string
	for p.NextExpression() {
		e := p.Expression()
		var keys []string
		var at unstable.Position
		for i := e.Key(); i.Next(); {
			n := i.Node()
			if len(keys) == 0 {
				at = p.Shape(n.Raw).Start
			}
			keys = append(keys, string(n.Data))
		}
		if e.Kind == unstable.KeyValue {
			positions[strings.Join(append(slices.Clone(table), keys...), ".")] = at
			continue
		}
		table = keys
		positions[strings.Join(keys, ".")] = at
	}
	return positions
}
