package rule

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const good = `# a whole set
model heat version=v1 # thermal
endpoint e1 model=heat version=v1 url=http://127.0.0.1:9101 domain=a vm=vm9 fenced=yes # thermal
endpoint s1 kind=service service=bind url=http://127.0.0.1:9301 domain=b # desk
drain e1 # on call
service bind path=/bind once=yes # desk
organisation lagos rate=20.5 burst=40 weight=2 priority=1 # claims
move heat from=v1 to=v2 by=2026-12-04T06:00:00Z budget=50 # release
route board model=heat # sales
`

func TestParseReadsAllKinds(t *testing.T) {
	is := is.New(t)
	s, findings := Parse("rules.txt", good)
	is.Equal(len(findings), 0)
	is.Equal(string(s.Endpoints["e1"].VM), "vm9")
	is.True(s.Endpoints["e1"].Fenced)
	is.Equal(s.Endpoints["s1"].Kind, KindService)
	is.Equal(s.Drains["e1"].RequestedBy, "on call")
	is.True(s.Services["bind"].AtMostOnce)
	is.Equal(s.Organisations["lagos"].Rate, 20.5)
	is.Equal(s.Moves["heat"].Budget, 50)
	is.Equal(s.Routes["board"].Model, s.Models["heat"].Name)
}

func TestParseFindsEachFaultWithItsPlace(t *testing.T) {
	tests := map[string]struct {
		text string
		want []string // positions and message prefixes
	}{
		"no comment":            {"model heat version=v1", []string{`1:22: a comment that names who asked`}},
		"empty comment":         {"model heat version=v1 #", []string{`1:24: a comment that names who asked`}},
		"unknown kind":          {"nodel heat version=v1 # x", []string{`1:1: unknown rule "nodel"`}},
		"no name":               {"model version=v1 # x", []string{`1:1: a name is missing`}},
		"field missing":         {"model heat # x", []string{`1:1: field "version" is missing`}},
		"unknown field":         {"model heat version=v1 speed=3 # x", []string{`1:23: unknown field "speed"`}},
		"field twice":           {"model heat version=v1 version=v2 # x", []string{`1:23: field "version" is set twice`}},
		"no field":              {"model heat version=v1 fast # x", []string{`1:23: want key=value`}},
		"rule twice":            {"model heat version=v1 # x\nmodel heat version=v2 # x", []string{`2:7: model heat is already defined (line 1)`}},
		"no number":             {"organisation o rate=fast # x", []string{`1:21: rate: not a number`}},
		"not finite":            {"organisation o rate=Inf # x", []string{`1:21: rate: not a number`}},
		"negative":              {"organisation o burst=-1 # x", []string{`1:22: burst: not a whole number`}},
		"no time":               {"model m version=a # x\nmove m from=a to=b by=soon # x", []string{`2:23: by: not a time`}},
		"move to itself":        {"model m version=a # x\nmove m from=a to=a by=2026-12-04T06:00:00Z # x", []string{`2:18: to: same version`}},
		"move from elsewhere":   {"model m version=c # x\nmove m from=a to=b by=2026-12-04T06:00:00Z # x", []string{`2:6: neither from nor to`}},
		"move, no budget":       {"model m version=a # x\nmove m from=a to=b by=2026-12-04T06:00:00Z budget=0 # x", []string{`2:51: budget: must be at least 1`}},
		"drain of nothing":      {"drain e9 # x", []string{`1:7: no endpoint "e9"`}},
		"move of nothing":       {"move m from=a to=b by=2026-12-04T06:00:00Z # x", []string{`1:6: no model "m"`}},
		"route to nothing":      {"route r model=m # x", []string{`1:7: no model "m"`}},
		"bad URL":               {"endpoint e kind=service service=s url=ftp://x domain=a # x", []string{`1:39: url: want a URL`}},
		"wide characters":       {"organisation ñandú rate=x # x", []string{`1:25: rate: not a number`}},
		"all faults at once":    {"nodel a # x\nmodel b # x\nmodel c version=v1", []string{"1:1:", "2:1:", "3:19:"}},
		"carriage returns":      {"model heat version=v1 # x\r\nroute r model=heat # y\r\n", nil},
		"only comments":         {"# nothing\n\n   # more\n", nil},
		"relative service path": {"service s path=bind # x", []string{`1:16: path: must start with /`}},
		"neither yes nor no":    {"service s once=maybe # x", []string{`1:16: once: want one of yes, no`}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, findings := Parse("f", c.text)
			is.Equal(len(findings), len(c.want))
			for i, f := range findings {
				if !strings.HasPrefix(f.String(), "f:"+c.want[i]) {
					t.Errorf("got %s, want %s", f, c.want[i])
				}
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(good)
	f.Add("endpoint = # =\nmove x by= # y\n\xff\xfe=#")
	f.Fuzz(func(t *testing.T, text string) {
		set, findings := Parse("f", text)
		lines := strings.Count(text, "\n") + 1
		if set == nil {
			t.Fatal("no set")
		}
		for _, p := range findings {
			if p.Line < 1 || p.Line > lines || p.Column < 1 {
				t.Fatalf("finding out of the file: %s", p)
			}
		}
	})
}

func BenchmarkParse(b *testing.B) {
	var text strings.Builder
	for i := range 27000 {
		fmt.Fprintf(&text, "organisation o%05d rate=5 burst=10 weight=1 # sales desk\n", i)
	}
	lines := text.String()
	b.SetBytes(int64(len(lines)))
	b.ReportAllocs()
	for b.Loop() {
		if _, findings := Parse("f", lines); len(findings) > 0 {
			b.Fatal(findings[0])
		}
	}
}
