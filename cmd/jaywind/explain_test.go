package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	lostLine  = `{"level":"warn","ts":"2026-12-04T00:00:02Z","msg":"stream: lost","request":"a1","endpoint":"e1","error":"EOF","next":0}` + "\n"
	endLine   = `{"level":"warn","ts":"2026-12-04T00:00:03Z","msg":"stream: given up","request":"a1","endpoint":"e2","sends":2}` + "\n"
	wholeLine = `{"level":"info","ts":"2026-12-04T00:00:04Z","msg":"stream: whole","request":"a1","endpoint":"e2","sends":2}` + "\n"
	failLine  = `{"level":"info","ts":"2026-12-04T00:00:04Z","msg":"request: answered","request":"a1","endpoint":"e2","status":500}` + "\n"
	limitLine = `{"level":"warn","ts":"2026-12-04T00:00:04Z","msg":"request: failed","request":"a1","endpoint":"e2","reason":"the limits of all endpoints are used up"}` + "\n"
	heldLine  = `{"level":"warn","ts":"2026-12-04T00:00:04Z","msg":"request: failed","request":"a1","endpoint":"","reason":"the request crashes endpoints"}` + "\n"
	startText = `{"level":"info","ts":"2026-12-04T00:00:05Z","msg":"router: started","vm":"vm1"}` + "\n"
	otherLine = `{"level":"info","ts":"2026-12-04T00:00:01Z","msg":"request: answered","request":"a2","endpoint":"e1"}` + "\n"
)

func TestExplain(t *testing.T) {
	tests := map[string]struct {
		files []string
		code  int
		out   []string // prefixes of the lines
		errs  string
	}{
		"cause first, in order": {[]string{endLine + lostLine + otherLine}, exitOK, []string{"cause: EOF, at endpoint e1", "2026-12-04T00:00:02Z", "2026-12-04T00:00:03Z"}, ""},
		"several files":         {[]string{endLine, otherLine + lostLine}, exitOK, []string{"cause: EOF", "2026-12-04T00:00:02Z", "2026-12-04T00:00:03Z"}, ""},
		"answered":              {[]string{lostLine + wholeLine}, exitOK, []string{"cause: none, it was answered", "2026", "2026"}, ""},
		"prefix before lines":   {[]string{"  1.5 vm-1 " + lostLine}, exitOK, []string{"cause: EOF", "2026-12-04T00:00:02Z  1.5 vm-1"}, ""},
		"bad lines":             {[]string{"{\"x\n" + lostLine + "text\n"}, exitOK, []string{"cause: EOF", "2026"}, "1 lines can't be read, the first is line 1"},
		"endpoint's failure":    {[]string{failLine}, exitOK, []string{"cause: the endpoint's own failure was passed on: endpoint=e2 status=500"}, ""},
		"limits":                {[]string{limitLine}, exitOK, []string{"cause: the limits of all endpoints are used up, at endpoint e2"}, ""},
		"crashes endpoints":     {[]string{lostLine + heldLine}, exitOK, []string{"cause: the request crashes endpoints"}, ""},
		"starts are left out":   {[]string{startText + endLine + lostLine}, exitOK, []string{"cause: EOF", "2026-12-04T00:00:02Z", "2026-12-04T00:00:03Z"}, ""},
		"its router ended":      {[]string{otherLine + startText}, exitFault, []string{"2026-12-04T00:00:05Z"}, "its router may have ended"},
		"unknown request":       {[]string{otherLine}, exitFault, nil, "no line names request a1"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			args := []string{"explain", "-id", "a1"}
			for i, text := range c.files {
				file := filepath.Join(t.TempDir(), strings.Repeat("f", i+1))
				is.NoErr(os.WriteFile(file, []byte(text), 0o600))
				args = append(args, file)
			}
			var out, errs bytes.Buffer
			is.Equal(dispatch(context.Background(), args, nil, &out, &errs), c.code)
			is.True(strings.Contains(errs.String(), c.errs))
			lines := strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
			for i, want := range c.out {
				is.True(i < len(lines) && strings.HasPrefix(lines[i], want))
			}
		})
	}
}

// TestExplainDecisions checks that the figures by which a request waited, was refused or was sent elsewhere are printed, and which router
// decided. The lines are those of routers of a soak; those of shed and rejected calls have the same fields as the router writes.
func TestExplainDecisions(t *testing.T) {
	const (
		waited   = `{"level":"info","ts":"2026-12-04T19:11:14.315752153Z","msg":"schedule: granted after a wait","request":"a1","service":"pool","ahead":2,"bound":99000,"in_use":69600,"oldest_report":1234,"waited":1016}`
		whole    = `{"level":"info","ts":"2026-12-04T19:11:17.248728829Z","msg":"stream: whole","request":"a1","route":"bulk","config":3,"sends":3,"endpoint":"i-replica1-3","age_ms":4753,"events":49}`
		refused  = `{"level":"info","ts":"2026-12-04T19:11:13.085938941Z","msg":"schedule: refused","request":"a1","service":"pool","ahead":11,"bound":99000,"in_use":90200,"oldest_report":531,"waited":542,"reason":"wait","expected":2174,"retry_after":1925}`
		tooLate  = `{"level":"info","ts":"2026-12-04T19:11:13.085938941Z","msg":"schedule: refused","request":"a1","service":"pool","ahead":0,"bound":99000,"in_use":90200,"oldest_report":531,"waited":0,"reason":"deadline"}`
		noRoom   = `{"level":"info","ts":"2026-12-04T19:11:13.085953918Z","msg":"stream: no room","request":"a1","route":"stream","config":3,"sends":0,"endpoint":"","age_ms":542,"ahead":11,"expected":2174,"bound":99000,"in_use":90200,"too_late":false}`
		late     = `{"level":"info","ts":"2026-12-04T19:11:13.085953918Z","msg":"stream: no room","request":"a1","route":"stream","config":3,"sends":0,"endpoint":"","age_ms":542,"ahead":0,"expected":0,"bound":99000,"in_use":90200,"too_late":true}`
		noEngine = `{"level":"warn","ts":"2026-12-04T19:11:13.085977589Z","msg":"request: failed","request":"a1","route":"stream","config":3,"sends":0,"endpoint":"","age_ms":543,"reason":"no engine has room in time","may_have_run":false,"retry_after":1925}`
		ownerNot = `{"level":"info","ts":"2026-12-04T19:11:12.737818143Z","msg":"schedule: owner not reached","at":"127.0.0.1:30015","call":"/fleet/schedule/ask","error":"unavailable: unexpected EOF"}`
		longAgo  = `{"level":"info","ts":"2026-12-04T19:11:11.037818143Z","msg":"schedule: owner not reached","at":"127.0.0.1:30015","call":"/fleet/schedule/ask","error":"unavailable: unexpected EOF"}`
		noOwner  = `{"level":"info","ts":"2026-12-04T19:11:13.037818143Z","msg":"stream: placed without the owner of the schedule","request":"a1","route":"stream","config":3,"sends":0,"endpoint":"","age_ms":0,"error":"service pool: no owner is ready"}`
		unusable = `{"level":"info","ts":"2026-12-04T19:11:16.244418747Z","msg":"stream: assigned endpoint is not usable","request":"a1","route":"stream","config":3,"sends":2,"endpoint":"i-replica1-2","age_ms":3749,"known":false}`
		alone    = `{"level":"info","ts":"2026-12-04T19:11:16.2444325Z","msg":"stream: placed without the owner of the schedule","request":"a1","route":"stream","config":3,"sends":2,"endpoint":"i-replica1-2","age_ms":3749,"error":"another endpoint has the address"}`
		shed     = `{"level":"info","ts":"2026-12-04T19:12:11.7Z","msg":"request: shed","request":"a1","route":"get","config":6,"sends":0,"endpoint":"","age_ms":0,"share":0.25,"drain":640.5,"candidates":2}`
		rejected = `{"level":"info","ts":"2026-12-04T19:12:11.7Z","msg":"request: rejected by all endpoints","request":"a1","route":"buy","config":6,"sends":2,"endpoint":"i-replica5-1","age_ms":9,"endpoints":2,"drain":640.5}`
		rejects  = `{"level":"warn","ts":"2026-12-04T19:12:11.8Z","msg":"request: failed","request":"a1","route":"get","config":6,"sends":0,"endpoint":"","age_ms":0,"reason":"the service rejects calls","may_have_run":false,"retry_after":702}`
		probe    = `{"level":"info","ts":"2026-12-04T19:12:11.756076647Z","msg":"request: balanced","request":"a1","route":"get","config":6,"sends":0,"endpoint":"","age_ms":0,"to":"i-replica4-1","probe":true,"expected":11,"open":0,"bad":0.17657447422703507,"spread":1.0367634427074386,"candidates":2}`
		hedged   = `{"level":"info","ts":"2026-12-04T19:12:26.438196704Z","msg":"request: hedged","request":"a1","route":"get","config":12,"sends":2,"endpoint":"i-replica4-4","age_ms":21,"delay":13,"quantile":12,"first":"i-replica4-4","second":"i-replica5-4","winner":"i-replica4-4"}`
		answered = `{"level":"info","ts":"2026-12-04T19:12:26.438396704Z","msg":"request: answered","request":"a1","route":"get","config":12,"sends":2,"endpoint":"i-replica4-4","age_ms":21,"status":200}`
		denied   = `{"level":"debug","ts":"2026-12-04T19:12:26.4Z","msg":"request: not hedged","request":"a1","route":"get","config":12,"sends":1,"endpoint":"i-replica4-4","age_ms":21,"reason":"no endpoint"}`
		timeout  = `{"level":"warn","ts":"2026-12-04T19:12:27.8Z","msg":"request: failed","request":"a1","route":"get","config":12,"sends":1,"endpoint":"i-replica4-4","age_ms":1500}`
	)
	secondWon := strings.Replace(hedged, `"winner":"i-replica4-4"`, `"winner":"i-replica5-4"`, 1)
	noneWon := strings.Replace(hedged, `"winner":"i-replica4-4"`, `"winner":""`, 1)
	tests := map[string]struct {
		lines []string
		cause string
		want  []string // decisions
	}{
		"one of many cut": {[]string{`{"level":"warn","ts":"2026-12-04T19:11:17Z","msg":"requests: cut","cause":"deadline","requests":["a0","a1"]}`}, "deadline (requests: cut)", nil},
		"waited": {[]string{waited, whole}, "none, it was answered", []string{
			"waited 1016 ms for an engine of pool: at most 2 requests ahead, 69600 of 99000 tokens of memory in use, oldest report 1234 ms old",
		}},
		"refused": {[]string{refused, noRoom, noEngine}, "no engine has room in time (request: failed)", []string{
			"refused by the owner of pool after 542 ms: expected to wait 2174 ms, room expected in 1925 ms; at most 11 requests ahead, 90200 of 99000 tokens of memory in use, oldest report 531 ms old",
		}},
		"refused, the owner's line is sampled out": {[]string{noRoom, noEngine}, "no engine has room in time", []string{
			"refused by the owner: expected to wait 2174 ms; 11 requests ahead, 90200 of 99000 tokens of memory in use",
		}},
		"refused for its deadline": {[]string{tooLate, late, noEngine}, "no engine has room in time", []string{
			"refused, as its deadline left no time for a run at pool: 90200 of 99000 tokens of memory in use, oldest report 531 ms old",
		}},
		"refused for its deadline, the owner's line is sampled out": {[]string{late, noEngine}, "no engine has room in time", []string{
			"refused, as its deadline left no time for a run: 90200 of 99000 tokens of memory in use",
		}},
		"no owner is ready": {[]string{longAgo, noOwner, whole}, "none, it was answered", []string{
			"no owner was reached (service pool: no owner is ready), so this router chose alone",
		}},
		"no owner is reached, and the router's part is used up": {[]string{ownerNot, noOwner, noEngine}, "no engine has room in time", []string{
			"no owner was reached (service pool: no owner is ready), so this router chose alone; 127.0.0.1:30015 was not reached 300ms before: unavailable: unexpected EOF; " +
				"its runs had reached their part of the last known bound, so it refused the request",
		}},
		"assigned endpoint is unknown": {[]string{waited, unusable, alone, whole}, "none, it was answered", []string{
			"waited 1016 ms for an engine of pool", "the owner assigned an endpoint that this router does not know, so this router chose alone",
		}},
		"shed": {[]string{shed, rejects}, "the service rejects calls (request: failed)", []string{
			"shed on arrival, as the service rejects more calls than it can serve: 25 % of its safe calls are shed, its 2 endpoints need 640 ms to drain",
		}},
		"rejected by all": {[]string{rejected, rejects}, "the service rejects calls", []string{
			"rejected by all 2 endpoints that may take it, the first of which needs 640 ms to drain",
		}},
		"probe": {[]string{probe, answered}, "none, it was answered", []string{
			"sent to i-replica4-1 as a probe, as that endpoint was slow or rejected calls: expected time 11 ms, 18 % of its calls bad, 0 calls open",
		}},
		"usual balancing is no decision": {[]string{strings.Replace(probe, "true", "false", 1), answered}, "none, it was answered", nil},
		"hedge lost": {[]string{hedged, answered}, "none, it was answered", []string{
			"no answer from i-replica4-4 within 13 ms (95th percentile of the route: 12 ms), so a hedge was sent to i-replica5-4; the first attempt won",
		}},
		"hedge won":       {[]string{secondWon, answered}, "none, it was answered", []string{"no answer from i-replica4-4 within 13 ms (95th percentile of the route: 12 ms), so a hedge was sent to i-replica5-4; the hedge won"}},
		"no attempt won":  {[]string{noneWon, timeout}, "request: failed", []string{"no answer from i-replica4-4 within 13 ms (95th percentile of the route: 12 ms), so a hedge was sent to i-replica5-4; neither attempt got a good answer"}},
		"hedge is denied": {[]string{denied, timeout}, "request: failed", []string{"not hedged: no endpoint"}},
		"fields are missing": {[]string{`{"ts":"2026-12-04T19:11:13Z","msg":"schedule: refused","request":"a1"}`}, "schedule: refused", []string{
			"refused by the owner of  after ?: expected to wait ?, room expected in ?; at most ? requests ahead, ? of ? tokens of memory in use, oldest report ? old",
		}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "vm1.log")
			is.NoErr(os.WriteFile(file, []byte(strings.Join(c.lines, "\n")), 0o600))
			var out, errs bytes.Buffer
			is.Equal(dispatch(context.Background(), []string{"explain", "-id", "a1", file}, nil, &out, &errs), exitOK)
			is.True(strings.HasPrefix(out.String(), "cause: "+c.cause))
			var got []string
			for line := range strings.Lines(out.String()) {
				if text, found := strings.CutPrefix(line, "decision: "); found {
					got = append(got, strings.TrimSpace(text))
				}
			}
			is.Equal(len(got), len(c.want))
			for i, want := range c.want {
				is.True(strings.HasPrefix(got[i], want)) // the decisions in order
			}
		})
	}
}
