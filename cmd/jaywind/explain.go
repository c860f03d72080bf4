package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
)

const maxLogLine = 1 << 20 // bytes

// logLine is a line of a router's log.
type logLine struct {
	file      string
	prefix    string // text before the JSON object, such as a VM's name
	timestamp string
	message   string
	fields    map[string]any
}

func explain(_ context.Context, c *console) int {
	f := c.flags()
	id := f.String("id", "", "request `id`")
	if code, more := c.parse(f); !more {
		return code
	}
	if *id == "" || f.NArg() == 0 {
		return c.misuse("want -id ID and the log files of one or more routers")
	}
	var lines, routerStarts, ownersLost []logLine
	for _, name := range f.Args() {
		found, bad, err := readLog(name, *id)
		if err != nil {
			return c.fail(err)
		}
		for _, l := range found {
			l.file = name
			switch l.message {
			case routerStartedMessage:
				routerStarts = append(routerStarts, l)
			case ownerLostMessage:
				ownersLost = append(ownersLost, l)
			default:
				lines = append(lines, l)
			}
		}
		if len(bad) > 0 {
			_, _ = fmt.Fprintf(c.err, "jaywind explain: %s: %d lines can't be read, the first is line %d\n", name, len(bad), bad[0])
		}
	}
	if len(lines) == 0 {
		for _, l := range routerStarts {
			c.printf("%s\n", l)
		}
		return c.fail(fmt.Errorf("no line names request %s: its router may have ended before it did (see the starts above), "+
			"it may have reached another one, or its line was sampled out", *id))
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.timestamp, b.timestamp) })
	c.printf("cause: %s\n", causeOf(lines))
	c.printDecisions(lines, ownersLost)
	for _, l := range lines {
		c.printf("%s\n", l)
	}
	return exitOK
}

// routerStartedMessage is the first log message of a router process.
const routerStartedMessage = "router: started"

// readLog returns the lines of a file that belong to a request, report the start of a router or name an owner that was not reached, and
// the line numbers of malformed JSON.
func readLog(name, id string) (lines []logLine, bad []int, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = file.Close() }()
	return scanLog(file, id)
}

func scanLog(r io.Reader, id string) (lines []logLine, bad []int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLine)
	for number := 1; s.Scan(); number++ {
		source, text, found := strings.Cut(s.Text(), "{")
		if !found {
			continue // not a JSON line: output of another program
		}
		l := logLine{prefix: strings.TrimSpace(source)}
		if err := json.Unmarshal([]byte("{"+text), &l.fields); err != nil {
			bad = append(bad, number)
			continue
		}
		l.message, _ = l.fields["msg"].(string)
		if l.fields["request"] != id && !l.lists(id) && l.message != routerStartedMessage && l.message != ownerLostMessage {
			continue
		}
		l.timestamp, _ = l.fields["ts"].(string)
		lines = append(lines, l)
	}
	return lines, bad, s.Err()
}

// lists reports whether the line names a request in a list.
func (l logLine) lists(id string) bool {
	all, _ := l.fields["requests"].([]any)
	return slices.Contains(all, any(id))
}

// causeOf describes why a request ended as it did: by the last failure that was logged for it, if it was not answered.
func causeOf(lines []logLine) string {
	last := lines[len(lines)-1]
	if status, _ := last.fields["status"].(float64); status >= http.StatusInternalServerError {
		return fmt.Sprintf("the endpoint's own failure was passed on: %s", last.details())
	}
	if last.message == "request: answered" || last.message == "stream: whole" {
		return fmt.Sprintf("none, it was answered: %s", last.details())
	}
	for i := len(lines) - 1; i >= 0; i-- {
		l := lines[i]
		if l.message == notHedgedMessage || l.message == refusedMessage { // their reasons are printed as decisions
			continue
		}
		for _, key := range []string{"error", "cause", "reason"} {
			if text, found := l.fields[key].(string); found {
				if l.text("endpoint") == "" {
					return fmt.Sprintf("%s (%s)", text, l.message)
				}
				return fmt.Sprintf("%s, at endpoint %s (%s)", text, l.text("endpoint"), l.message)
			}
		}
	}
	return last.message
}

// details formats the fields of a line that String does not print otherwise.
func (l logLine) details() string {
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(l.fields)) {
		switch key {
		case "ts", "msg", "request", "level":
			continue
		}
		parts = append(parts, fmt.Sprintf("%s=%v", key, l.fields[key]))
	}
	return strings.Join(parts, " ")
}

// String formats the line as timestamp, source, message and remaining fields.
func (l logLine) String() string {
	return fmt.Sprintf("%s  %s  %s  %s", l.timestamp, l.where(), l.message, l.details())
}

// where names the source of the line.
func (l logLine) where() string {
	if l.prefix == "" {
		return l.file
	}
	return l.prefix
}
