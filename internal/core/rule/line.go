package rule

import (
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// word is a token of a line with the column at which it starts.
type word struct {
	text   string
	column int
}

// field is one key=value of a line.
type field struct {
	value  string
	column int // column of the value
}

// line is a rule that is split into tokens and not interpreted yet.
type line struct {
	kind        word
	name        word
	fields      map[string]field
	keys        []word // keys in their order on the line
	requestedBy string
	used        map[string]bool
	report      func(column int, what string)
}

// readLine splits a line into tokens. It returns nil for a line without a rule.
func readLine(text string, report func(column int, what string)) *line {
	body, comment, found := strings.Cut(text, "#")
	words := splitWords(body)
	if len(words) == 0 {
		return nil
	}
	l := &line{kind: words[0], fields: map[string]field{}, used: map[string]bool{}, report: report}
	l.requestedBy = strings.TrimSpace(comment)
	if !found || l.requestedBy == "" {
		report(utf8.RuneCountInString(strings.TrimRight(text, " \t\r"))+1, "a comment that names who asked is missing")
	}
	rest := words[1:]
	if len(rest) == 0 || strings.Contains(rest[0].text, "=") {
		report(l.kind.column, "a name is missing after "+strconv.Quote(l.kind.text))
	} else {
		l.name = rest[0]
		rest = rest[1:]
	}
	for _, w := range rest {
		l.addField(w)
	}
	return l
}

func splitWords(body string) []word {
	var words []word
	var current []rune
	column := 0
	start := 0
	for _, r := range body + " " {
		column++
		if r != ' ' && r != '\t' && r != '\r' {
			if len(current) == 0 {
				start = column
			}
			current = append(current, r)
			continue
		}
		if len(current) > 0 {
			words = append(words, word{text: string(current), column: start})
			current = nil
		}
	}
	return words
}

func (l *line) addField(w word) {
	key, value, found := strings.Cut(w.text, "=")
	if !found || key == "" {
		l.report(w.column, "want key=value, got "+strconv.Quote(w.text))
		return
	}
	if _, duplicate := l.fields[key]; duplicate {
		l.report(w.column, "field "+strconv.Quote(key)+" is set twice")
		return
	}
	l.fields[key] = field{value: value, column: w.column + utf8.RuneCountInString(key) + 1}
	l.keys = append(l.keys, word{text: key, column: w.column})
}

// text returns the value of a required field.
func (l *line) text(key string) string {
	f, found := l.lookup(key)
	if !found {
		l.report(l.kind.column, "field "+strconv.Quote(key)+" is missing")
		return ""
	}
	if f.value == "" {
		l.report(f.column, key+": empty")
	}
	return f.value
}

// optional returns the value of a field, or fallback if the field is absent.
func (l *line) optional(key, fallback string) string {
	f, found := l.lookup(key)
	if !found {
		return fallback
	}
	return f.value
}

func (l *line) lookup(key string) (field, bool) {
	l.used[key] = true
	f, found := l.fields[key]
	return f, found
}

func (l *line) oneOf(key, fallback string, values ...string) string {
	got := l.optional(key, fallback)
	for _, v := range values {
		if got == v {
			return got
		}
	}
	l.report(l.fields[key].column, key+": want one of "+strings.Join(values, ", ")+", got "+strconv.Quote(got))
	return fallback
}

func (l *line) integer(key string, fallback int) int {
	f, found := l.lookup(key)
	if !found {
		return fallback
	}
	n, err := strconv.Atoi(f.value)
	if err != nil || n < 0 {
		l.report(f.column, key+": not a whole number of 0 or more: "+strconv.Quote(f.value))
	}
	return n
}

func (l *line) decimal(key string, fallback float64) float64 {
	f, found := l.lookup(key)
	if !found {
		return fallback
	}
	n, err := strconv.ParseFloat(f.value, 64)
	if err != nil || !(n >= 0 && n <= maxNumber) {
		l.report(f.column, key+": not a number of 0 or more: "+strconv.Quote(f.value))
	}
	return n
}

func (l *line) timestamp(key string) time.Time {
	f, found := l.lookup(key)
	if !found {
		l.report(l.kind.column, "field "+strconv.Quote(key)+" is missing")
		return time.Time{}
	}
	t, err := time.Parse(time.RFC3339, f.value)
	if err != nil {
		l.report(f.column, key+": not a time like 2026-12-04T06:00:00Z: "+strconv.Quote(f.value))
	}
	return t
}

// reportUnknown reports the fields that the rule's kind doesn't have.
func (l *line) reportUnknown() {
	for _, key := range l.keys {
		if !l.used[key.text] {
			l.report(key.column, "unknown field "+strconv.Quote(key.text)+" for "+l.kind.text)
		}
	}
}
