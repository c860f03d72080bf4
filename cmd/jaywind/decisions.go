package main

import (
	"fmt"
	"strconv"
	"time"
)

// Messages of decisions that are treated specially.
const (
	notUsableMessage   = "stream: assigned endpoint is not usable" // noOwnerMessage follows, although the owner has answered
	noOwnerMessage     = "stream: placed without the owner of the schedule"
	ownerLostMessage   = "schedule: owner not reached" // names no request
	refusedMessage     = "schedule: refused"
	noRoomMessage      = "stream: no room" // follows refusedMessage, with fewer fields
	notHedgedMessage   = "request: not hedged"
	reasonNoRoom       = "no engine has room in time"
	unreachedOwnerTime = time.Second // for which a router does not ask an owner again that did not answer
)

// decisionTexts formats the lines about decisions on where and whether a request runs, by message.
var decisionTexts = map[string]func(l logLine) string{
	"schedule: granted after a wait": func(l logLine) string {
		return fmt.Sprintf("waited %s for an engine of %s: %s", l.ms("waited"), l.text("service"), l.queueText())
	},
	refusedMessage: func(l logLine) string {
		if l.text("reason") == "deadline" {
			return fmt.Sprintf("refused, as its deadline left no time for a run at %s: %s", l.text("service"), l.reportText())
		}
		return fmt.Sprintf("refused by the owner of %s after %s: expected to wait %s, room expected in %s; %s",
			l.text("service"), l.ms("waited"), l.ms("expected"), l.ms("retry_after"), l.queueText())
	},
	noRoomMessage: func(l logLine) string {
		if l.fields["too_late"] == true {
			return fmt.Sprintf("refused, as its deadline left no time for a run: %s", l.memoryText())
		}
		return fmt.Sprintf("refused by the owner: expected to wait %s; %s requests ahead, %s", l.ms("expected"), l.number("ahead"), l.memoryText())
	},
	noOwnerMessage: func(l logLine) string {
		return fmt.Sprintf("no owner was reached (%s), so this router chose alone", l.text("error"))
	},
	notUsableMessage: func(l logLine) string {
		if l.fields["known"] == true {
			return "the owner assigned an endpoint that takes no work from this router, so this router chose alone"
		}
		return "the owner assigned an endpoint that this router does not know, so this router chose alone"
	},
	"request: balanced": func(l logLine) string {
		if l.fields["probe"] != true {
			return ""
		}
		return fmt.Sprintf("sent to %s as a probe, as that endpoint was slow or rejected calls: expected time %s, %s of its calls bad, %s calls open",
			l.text("to"), l.ms("expected"), l.percent("bad"), l.number("open"))
	},
	"request: shed": func(l logLine) string {
		return fmt.Sprintf("shed on arrival, as the service rejects more calls than it can serve: %s of its safe calls are shed, its %s endpoints need %s to drain",
			l.percent("share"), l.number("candidates"), l.ms("drain"))
	},
	"request: rejected by all endpoints": func(l logLine) string {
		return fmt.Sprintf("rejected by all %s endpoints that may take it, the first of which needs %s to drain", l.number("endpoints"), l.ms("drain"))
	},
	notHedgedMessage: func(l logLine) string {
		return fmt.Sprintf("not hedged: %s", l.text("reason"))
	},
	"request: hedged": func(l logLine) string {
		first, second, winner := l.text("first"), l.text("second"), l.text("winner")
		who := "the first attempt won"
		switch winner {
		case "":
			who = "neither attempt got a good answer"
		case second:
			who = "the hedge won"
		}
		return fmt.Sprintf("no answer from %s within %s (95th percentile of the route: %s), so a hedge was sent to %s; %s", first, l.ms("delay"), l.ms("quantile"), second, who)
	},
}

// printDecisions prints why a request waited, was refused, or was sent to one endpoint or two. The argument ownersLost holds the lines
// about owners that were not reached.
func (c *console) printDecisions(lines, ownersLost []logLine) {
	refused := false
	for i, l := range lines {
		if l.message == noRoomMessage && refused || l.message == noOwnerMessage && i > 0 && lines[i-1].message == notUsableMessage {
			continue
		}
		refused = refused || l.message == refusedMessage
		format := decisionTexts[l.message]
		if format == nil {
			continue
		}
		text := format(l)
		if text == "" {
			continue
		}
		if l.message == noOwnerMessage {
			text += lostOwners(l, ownersLost)
			if i+1 < len(lines) && lines[i+1].text("reason") == reasonNoRoom {
				text += "; its runs had reached their part of the last known bound, so it refused the request"
			}
		}
		c.printf("decision: %s\n", text)
	}
}

// lostOwners names the owners that the router of a line did not reach shortly before it.
func lostOwners(l logLine, ownersLost []logLine) string {
	var out string
	for _, o := range ownersLost {
		before := l.time().Sub(o.time())
		if o.where() == l.where() && before >= 0 && before <= unreachedOwnerTime {
			out += fmt.Sprintf("; %s was not reached %s before: %s", o.text("at"), before.Round(time.Millisecond), o.text("error"))
		}
	}
	return out
}

// queueText formats the state of the queue in which a request waited.
func (l logLine) queueText() string {
	return fmt.Sprintf("at most %s requests ahead, %s", l.number("ahead"), l.reportText())
}

func (l logLine) reportText() string {
	return fmt.Sprintf("%s, oldest report %s old", l.memoryText(), l.ms("oldest_report"))
}

func (l logLine) memoryText() string {
	return fmt.Sprintf("%s of %s tokens of memory in use", l.number("in_use"), l.number("bound"))
}

// text returns a field, or an empty string if it is missing.
func (l logLine) text(key string) string {
	s, _ := l.fields[key].(string)
	return s
}

// number formats a whole number.
func (l logLine) number(key string) string {
	n, found := l.fields[key].(float64)
	if !found {
		return "?"
	}
	return strconv.FormatFloat(n, 'f', -1, 64)
}

// ms formats a time in milliseconds.
func (l logLine) ms(key string) string {
	n, found := l.fields[key].(float64)
	if !found {
		return "?"
	}
	return strconv.FormatFloat(n, 'f', 0, 64) + " ms"
}

// percent formats a share.
func (l logLine) percent(key string) string {
	n, found := l.fields[key].(float64)
	if !found {
		return "?"
	}
	const percent = 100
	return strconv.FormatFloat(percent*n, 'f', 0, 64) + " %"
}

// time returns the time of a line, or the zero time if it has none.
func (l logLine) time() time.Time {
	t, _ := time.Parse(time.RFC3339Nano, l.timestamp)
	return t
}
