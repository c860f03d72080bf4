package rules

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jaywind/internal/core/rule"
)

const (
	plannedOrganisations = 27_000 // organisations
	severalChunks        = 4_000  // organisations whose text has several chunks
)

// manyRules returns rules of a model, a route and n organisations.
func manyRules(n int) string {
	var text strings.Builder
	text.WriteString("model heat version=v1 # ops\nroute sizing model=heat # ops\n")
	for i := range n {
		fmt.Fprintf(&text, "organisation o%05d rate=5 burst=10 weight=1 # sales desk\n", i)
	}
	return text.String()
}

func TestParserReturnsWhatParseReturns(t *testing.T) {
	base := manyRules(severalChunks)
	middle := "organisation o01500 rate=5 burst=10 weight=1 # sales desk\n"
	tests := map[string]string{
		"the same":                    base,
		"a line changed":              strings.Replace(base, middle, "organisation o01500 rate=7 # sales desk\n", 1),
		"a line removed":              strings.Replace(base, middle, "", 1),
		"a line added at the top":     "organisation lagos rate=5 # desk\n" + base,
		"a line without its end":      base + "organisation onne rate=5 # desk",
		"a name twice, far apart":     base + "organisation o00007 rate=5 # desk\n",
		"a line twice":                base + middle,
		"a rule that is wrong":        strings.Replace(base, middle, "organisation o01500 rate=fast # sales desk\n", 1),
		"what is referred to is gone": strings.Replace(base, "model heat version=v1 # ops\n", "", 1),
		"what refers is wrong":        base + "drain e9 # ops\n",
		"a small set":                 "model heat version=v1 # ops\n",
		"nothing":                     "",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &Parser{}
			before, findings := p.Parse("rules", base)
			is.Equal(len(findings), 0)
			want, wantFindings := rule.Parse("rules", text)
			got, gotFindings := p.Parse("rules", text)
			is.Equal(gotFindings, wantFindings)
			is.Equal(got, want)
			unchanged, _ := rule.Parse("rules", base)
			is.Equal(before, unchanged) // a set in use is not modified
		})
	}
}

func TestParserKeepsTheLastTextOnly(t *testing.T) {
	is := is.New(t)
	p := &Parser{}
	text := manyRules(severalChunks)
	for i := range 50 {
		text = strings.Replace(text, fmt.Sprintf("organisation o%05d rate=5 ", i*75), fmt.Sprintf("organisation o%05d rate=6 ", i*75), 1)
		_, findings := p.Parse("rules", text)
		is.Equal(len(findings), 0)
	}
	size := 0
	for kept := range p.chunks {
		size += len(kept)
	}
	is.Equal(size, len(text))
}

func BenchmarkChange(b *testing.B) {
	for name, p := range map[string]*Parser{"all": nil, "changed": {}} {
		b.Run(name, func(b *testing.B) {
			text := manyRules(plannedOrganisations)
			p.Parse("rules", text)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				b.StopTimer()
				n = (n + 7919) % plannedOrganisations
				line := fmt.Sprintf("organisation o%05d rate=", n)
				text = strings.Replace(text, line, line+"1", 1)
				b.StartTimer()
				if _, findings := p.Parse("rules", text); len(findings) > 0 {
					b.Fatal(findings[0])
				}
			}
		})
	}
}
