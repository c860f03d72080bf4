package claim

import (
	"net/url"
	"strings"
	"time"

	"jaywind"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

// modeOf returns how often a call may be sent according to the rules.
func modeOf(set *rule.Set, a table.CallRequest) table.Mode {
	if a.HTTP.Idempotent() {
		return table.ModeIdempotent
	}
	v := set.Services[a.Service]
	if a.Key != "" || v.AtMostOnce && matchesPrefix(a.HTTP.Path, v.Path) {
		return table.ModeClaimed
	}
	return table.ModeAtMostOnce
}

// matchesPrefix reports whether an escaped path has a prefix. A path that can't be unescaped counts
// as a match, so that its call runs at most once.
func matchesPrefix(escaped, prefix string) bool {
	escaped, _, _ = strings.Cut(escaped, "?")
	path, err := url.PathUnescape(escaped)
	return err != nil || strings.HasPrefix(path, prefix)
}

// refuseUnrunnable answers a call that this router can't run and reports whether it did.
func refuseUnrunnable(s *table.State, c *table.ServiceCall) bool {
	switch {
	case s.Stopping:
		respondAndForget(s, c, notRun(s, "this router is stopping"))
	case s.Fleet.Partitioned:
		respondAndForget(s, c, notRun(s, "this router is cut off from the store and from most routers"))
	case s.Rules == nil:
		respondAndForget(s, c, notRun(s, "no rules are known yet"))
	case !s.Now.Before(c.Request.Deadline):
		respondAndForget(s, c, notRun(s, "the deadline has passed"))
	case !isConfigured(s.Rules, c.Request.Service):
		respondAndForget(s, c, table.Respond{Result: table.ResultInvalid, Reason: "no such service: " + string(c.Request.Service)})
	default:
		return false
	}
	return true
}

func isConfigured(set *rule.Set, name jaywind.ServiceName) bool {
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

// respondAndForget gives the final answer, unless it was given, and removes the call.
func respondAndForget(s *table.State, c *table.ServiceCall, r table.Respond) {
	respond(s, c, r)
	for n := range c.Open {
		closeTry(s, c, n)
	}
	delete(s.Calls, c.Request.ID)
}

// respond gives the final answer, unless it was given, and keeps the call, as an endpoint may still be running it.
func respond(s *table.State, c *table.ServiceCall, r table.Respond) {
	if !c.Responded {
		r.Request = c.Request.ID
		s.Emit(r)
	}
	c.Responded = true
}

func notRun(s *table.State, reason string) table.Respond {
	spread := time.Duration(s.Random.Int64N(int64(retryAfter)))
	return table.Respond{Result: table.ResultNotRun, Reason: reason, RetryAfter: retryAfter/2 + spread}
}

func unknown(reason string) table.Respond {
	return table.Respond{Result: table.ResultUnknown, Reason: reason, RetryAfter: retryAfter}
}

// replay answers a call with the reply recorded for its key.
func replay(r jaywind.Reply) table.Respond {
	if r.Status == 0 {
		return unknown("the call has run and its reply was too large to be kept")
	}
	return table.Respond{Result: table.ResultReply, Reply: r, Replayed: true}
}
