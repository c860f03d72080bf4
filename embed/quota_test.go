package embed_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jaywind"
	"jaywind/embed"
	"jaywind/internal/core/rule"
	"jaywind/internal/core/table"
)

func (l line) ExchangeDemands(ctx context.Context, at jaywind.Address, from jaywind.VM, demands []jaywind.Demand) ([]jaywind.Demand, error) {
	r, err := l.reach(ctx, at)
	if err != nil {
		return nil, err
	}
	return r.TakeDemands(ctx, from, demands)
}

// prompt is an engine that answers with the words of the prompt.
type prompt struct{ echo }

func (*prompt) Open(_ context.Context, _ jaywind.Address, c jaywind.Call) (jaywind.Stream, error) {
	return &closing{words: words{call: c, words: strings.Fields(c.Prompt), next: int(c.Position)}}, nil
}

// closing is a stream that closes after its end frame.
type closing struct {
	words
	ended bool
}

func (c *closing) Next() (jaywind.Frame, error) {
	if c.ended {
		return jaywind.Frame{}, io.EOF
	}
	f, err := c.words.Next()
	c.ended = f.End
	return f, err
}

const (
	limitRate   = 10 // requests a second
	askEvery    = 100 * time.Millisecond
	shareWithin = 0.1 // of the limit
)

// askAt asks at routers for a time and returns how many requests a second were answered.
func (p *troop) askAt(d time.Duration, at []int) float64 {
	var answers []*embed.Answer
	for i := range int(d / askEvery) {
		for _, n := range at {
			id := jaywind.RequestID(fmt.Sprint(time.Now().UnixNano(), "-", i, "-", n))
			a, err := p.routers[n].Generate(context.Background(), table.GenerationRequest{ID: id, Organisation: "lagos", Model: "heat", Prompt: "fins", MaxTokens: 9})
			if err != nil {
				p.t.Fatal(err)
			}
			answers = append(answers, a)
		}
		time.Sleep(askEvery)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	whole := 0
	for _, a := range answers {
		_, _, final, err := readUntil(ctx, a, 10)
		if err != nil || final == nil {
			p.t.Fatal("no final answer: ", err)
		}
		if final.Outcome == embed.OutcomeWhole {
			whole++
		}
	}
	return float64(whole) / d.Seconds()
}

const limitRules = `
model heat version=v1 # test
endpoint e1 model=heat version=v1 url=http://10.0.2.1 domain=d0 # test
endpoint e2 model=heat version=v1 url=http://10.0.2.2 domain=d1 # test
organisation lagos rate=%d burst=%d # test
`

// TestRoutersShareALimit has callers ask for three times an organisation's limit, a third at each of its homes.
func TestRoutersShareALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newTroop(t, troopSize)
		set, findings := rule.Parse("test", fmt.Sprintf(limitRules, limitRate, limitRate))
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
