package main

import (
	"context"
	"encoding/json"
	"time"

	"jaywind"
	"jaywind/internal/client/operator"
	"jaywind/internal/operator/settings"
)

const (
	defaultApplyWait  = 10 * time.Second
	applyPollInterval = 100 * time.Millisecond
)

func newOperatorClient(s settings.Settings, address string) *operator.Client {
	if address == "" {
		address = "http://" + s.Listen.Operator
	}
	return &operator.Client{URL: jaywind.Address(address), Secret: s.Secret}
}

func status(ctx context.Context, c *console) int {
	f := c.flags()
	settingsFile := f.String("settings", "", "settings `file` of the router to ask")
	at := f.String("operator", "", "operator `URL` of the router to ask; when empty, the one in the settings")
	asJSON := f.Bool("json", false, "print the status as JSON")
	if code, more := c.parse(f); !more {
		return code
	}
	s, err := loadSettings(*settingsFile)
	if err != nil {
		return c.fail(err)
	}
	got, err := newOperatorClient(s, *at).Status(ctx)
	if err != nil {
		return c.fail(err)
	}
	if *asJSON {
		_ = json.NewEncoder(c.out).Encode(got)
		return exitOK
	}
	c.printStatus(got)
	return exitOK
}

func (c *console) printStatus(s operator.Status) {
	c.printf("rules version %d at %s; %d of %d routers live\n", s.Rules, s.VM, s.Live, s.Known)
	switch {
	case s.Partitioned:
		c.printf("cut off: no store, and fewer than half of the routers; new requests are refused\n")
	case s.StoreAge < 0:
		c.printf("store: not reached yet\n")
	default:
		c.printf("store: last reached %.0f s ago\n", s.StoreAge)
	}
	if s.Era > 0 {
		c.printf("store: restored from an older copy %d times\n", s.Era)
	}
	if s.Incomplete {
		c.printf("claims: not all recorded again since the last restore; at-most-once calls with new keys are refused\n")
	}
	for _, r := range s.Routers {
		leaving := ""
		if r.Leaving {
			leaving = " leaving"
		}
		c.printf("router %s domain=%s state=%s rules=%d%s\n", r.VM, r.Domain, r.State, r.Rules, leaving)
	}
	for _, id := range s.Leaving {
		c.printf("endpoint %s leaving\n", id)
	}
	for _, m := range s.Moves {
		c.printf("move %s from=%s to=%s by=%s %s share=%.3f %s\n",
			m.Model, m.From, m.To, m.Deadline.Format(time.RFC3339), m.State, m.Share, m.Reason)
	}
}

// awaitInForce waits until all routers have a version in force, or the time is over, and prints which have it.
func (c *console) awaitInForce(ctx context.Context, o *operator.Client, version jaywind.RulesVersion, wait time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	var lastStatus operator.Status
	var lastErr error
	for {
		s, err := o.Status(ctx)
		if err == nil {
			lastStatus, lastErr = s, nil
		} else if ctx.Err() == nil {
			lastErr = err
		}
		if len(lastStatus.Routers) > 0 && len(routersBehind(lastStatus, version)) == 0 {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(applyPollInterval):
			continue
		}
		break
	}
	if len(lastStatus.Routers) == 0 {
		return c.reportPending(version, "no router could be asked: "+errorText(lastErr))
	}
	return c.printInForce(lastStatus, version)
}

func errorText(err error) string {
	if err == nil {
		return "no answer in time"
	}
	return err.Error()
}

// routersBehind returns the routers that are not known to have a version in force, without those that left the fleet.
func routersBehind(s operator.Status, version jaywind.RulesVersion) []operator.RouterState {
	var out []operator.RouterState
	for _, r := range s.Routers {
		left := r.State == "dead" && r.Leaving
		if !left && (r.State != "alive" || r.Rules < uint64(version)) {
			out = append(out, r)
		}
	}
	return out
}

func (c *console) printInForce(s operator.Status, version jaywind.RulesVersion) int {
	behind := routersBehind(s, version)
	count := s.Known
	for _, r := range behind {
		what := "has version"
		if r.State != "alive" {
			what = "could not be reached (" + r.State + "), had version"
		}
		c.printf("router %s %s %d\n", r.VM, what, r.Rules)
		if r.Rules < uint64(version) {
			count--
		}
	}
	c.printf("version %d is in force on %d of %d routers\n", version, count, s.Known)
	if 2*count <= s.Known {
		return c.reportPending(version, "no majority of the routers has it")
	}
	c.printf("accepted as version %d\n", version)
	return exitOK
}

func (c *console) reportPending(version jaywind.RulesVersion, why string) int {
	c.printf("version %d is pending: %s\n", version, why)
	return exitPending
}
