package embed_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/embed"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

func (l line) Tell(ctx context.Context, at jaywind.Address, from jaywind.VM, demands []jaywind.Demand) ([]jaywind.Demand, error) {
	r, err := l.reach(ctx, at)
	if err != nil {
		return nil, err
	}
	return r.TakeDemands(ctx, from, demands)
}

const (
	limitRate   = 10 // requests a second
	askEvery    = 100 * time.Millisecond
	overRate    = "the organisation is over its rate"
	shareWithin = 0.1 // of the limit
)

// askAt asks at routers for a time and returns how many requests a second the limit let pass; no endpoint takes them.
func (p *troop) askAt(d time.Duration, at []int) float64 {
	var answers []*embed.Answer
	for i := range int(d / askEvery) {
		for _, n := range at {
			id := jaywind.RequestID(fmt.Sprint(time.Now().UnixNano(), "-", i, "-", n))
			a, err := p.routers[n].Generate(context.Background(), table.Ask{ID: id, Organisation: "lagos", Model: "heat", Limit: 9})
			if err != nil {
				p.t.Fatal(err)
			}
			answers = append(answers, a)
		}
		time.Sleep(askEvery)
	}
	passed := 0
	for _, a := range answers {
		_, _, final, err := readUntil(context.Background(), a, 1)
		if err != nil || final == nil {
			p.t.Fatal("no final answer", err)
		}
		if final.Reason != overRate {
			passed++
		}
	}
	return float64(passed) / d.Seconds()
}

// TestRoutersShareALimit has callers ask for three times an organisation's limit, a third at each of its homes.
func TestRoutersShareALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newTroop(t, troopSize)
		set, findings := rule.Parse("test", fmt.Sprintf("model heat version=v1 # test\norganisation lagos rate=%d burst=%d # test\n", limitRate, limitRate))
		is.Equal(len(findings), 0)
		p.accept()
		p.run(settle)
		for _, r := range p.routers {
			is.True(r.SetRules(9, set))
		}
		p.run(time.Second)
		homes := p.indexes(p.routers[0].Entries("lagos"))
		is.Equal(len(homes), 3)

		p.askAt(5*time.Second, homes)
		got := p.askAt(20*time.Second, homes) / limitRate
		t.Logf("three homes: %.3f of the limit", got)
		is.True(got <= 1+shareWithin)
		is.True(got >= 1-shareWithin)

		p.kill(homes[0])
		p.askAt(6*time.Second, homes[1:])
		got = p.askAt(20*time.Second, homes[1:]) / limitRate
		t.Logf("one of them dead: %.3f of the limit", got)
		is.True(got <= 1+shareWithin)
		is.True(got >= 1-shareWithin)

		p.setCut(homes[1], true)
		p.askAt(6*time.Second, homes[2:])
		got = p.askAt(20*time.Second, homes[2:]) / limitRate
		t.Logf("another cut off, the third alone: %.3f of the limit", got)
		is.True(got <= 1+shareWithin)
		is.True(got >= 1-shareWithin)
	})
}

// indexes returns the routers that have entries.
func (p *troop) indexes(entries []jaywind.Address) []int {
	var out []int
	for i, r := range p.routers {
		if slices.Contains(entries, r.Entry) {
			out = append(out, i)
		}
	}
	return out
}
