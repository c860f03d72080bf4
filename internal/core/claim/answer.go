package claim

import (
	"net/url"
	"strings"
	"time"

	"jaywind"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

// modeOf tells how often a call may be sent under the rules.
func modeOf(set *rule.Set, a table.CallRequest) table.Mode {
	if a.HTTP.Idempotent() {
		return table.ModeIdempotent
	}
	v := set.Services[a.Service]
	if a.Key != "" || v.Once && below(a.HTTP.Path, v.Path) {
		return table.ModeClaimed
	}
	return table.ModeAtMostOnce
}

// below tells whether an escaped path is under a prefix; one that can't be read is taken to be.
func below(escaped, prefix string) bool {
	escaped, _, _ = strings.Cut(escaped, "?")
	path, err := url.PathUnescape(escaped)
	return err != nil || strings.HasPrefix(path, prefix)
}

// refuse answers a call that can't be run here and tells whether it did.
func refuse(s *table.State, c *table.ServiceCall) bool {
	switch {
	case s.Stopping:
		respond(s, c, notRun(s, "this router is stopping"))
	case s.Fleet.Partitioned:
		respond(s, c, notRun(s, "this router is cut off from the store and from most routers"))
	case s.Rules == nil:
		respond(s, c, notRun(s, "no rules are known yet"))
	case !s.Now.Before(c.Request.Deadline):
		respond(s, c, notRun(s, "the deadline has passed"))
	case !served(s.Rules, c.Request.Service):
		respond(s, c, table.Respond{Result: table.ResultInvalid, Reason: "no such service: " + string(c.Request.Service)})
	default:
		return false
	}
	return true
}

func served(set *rule.Set, name jaywind.ServiceName) bool {
	if _, known := set.Services[name]; known {
		return true
	}
	for _, e := range set.Endpoints {
		if e.Kind == rule.KindService && e.Service == name {
			return true
		}
	}
	return false
}

// respond gives the final answer, once, and forgets a call that is not with an endpoint.
func respond(s *table.State, c *table.ServiceCall, r table.Respond) {
	if !c.Responded {
		r.Request = c.Request.ID
		s.Emit(r)
	}
	c.Responded = true
	delete(s.Calls, c.Request.ID)
}

// respondEarly gives the final answer while an endpoint may still work on the call.
func respondEarly(s *table.State, c *table.ServiceCall, r table.Respond) {
	respond(s, c, r)
	s.Calls[c.Request.ID] = c
}

func notRun(s *table.State, reason string) table.Respond {
	spread := time.Duration(s.Random.Int64N(int64(returnAfter)))
	return table.Respond{Result: table.ResultNotRun, Reason: reason, RetryAfter: returnAfter/2 + spread}
}

func unknown(reason string) table.Respond {
	return table.Respond{Result: table.ResultUnknown, Reason: reason, RetryAfter: returnAfter}
}

// recorded answers a repeat of a call that has run.
func recorded(r jaywind.Reply) table.Respond {
	if r.Status == 0 {
		return unknown("the call has run and its reply was too large to be kept")
	}
	return table.Respond{Result: table.ResultReply, Reply: r, Replayed: true}
}
