package settings

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// templateValues are the values that the platform fills into the template.
var templateValues = map[string]string{
	"nodeName": "front-a-1", "zone": "a", "region": "r", "ip": "10.1.0.19",
	"listen.front": "10.1.0.19:8740", "listen.ready": "10.1.0.19:8749", "listen.control": "10.1.0.19:8748", "listen.directory": "10.1.0.19:8746",
	"seeds": "10.1.0.19:8748,10.2.0.13:8748", "platform.address": "10.200.1.7:8742", "limits.memoryMb": "284", "limits.linkMbps": "1000.0",
	"bounds.graceS": "8", "bounds.retryBudgetRatio": "0.8", "bounds.retryBudgetSlack": "150",
	"bounds.budgetWindowS": "10", "bounds.exposureShare": "0.1", "bounds.exposureSlack": "50",
}

func render(t *testing.T, change map[string]string) string {
	t.Helper()
	text, err := os.ReadFile("../../../deploy/settings.toml")
	if err != nil {
		t.Fatal(err)
	}
	return regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllStringFunc(string(text), func(place string) string {
		key := strings.Trim(place, "{}")
		if v, changed := change[key]; changed {
			return v
		}
		v, known := templateValues[key]
		if !known {
			t.Fatalf("no value for placeholder %s", place)
		}
		return v
	})
}

// TestTemplate checks that rendered settings are valid, and that missing or invalid values in them are found.
func TestTemplate(t *testing.T) {
	tests := map[string]struct {
		change map[string]string
		want   string // in the findings; none when empty
	}{
		"sound":         {nil, ""},
		"no store":      {map[string]string{"platform.address": ""}, "platform.store"},
		"no directory":  {map[string]string{"listen.directory": ""}, "platform.directory"},
		"no seeds":      {map[string]string{"seeds": ""}, ""},
		"bad seed":      {map[string]string{"seeds": "10.1.0.19:8748,x"}, "platform.seeds"},
		"no memory":     {map[string]string{"limits.memoryMb": "0"}, "platform.memory"},
		"no name":       {map[string]string{"nodeName": ""}, "vm: want a name"},
		"not a number":  {map[string]string{"bounds.budgetWindowS": "soon"}, ""},
		"whole numbers": {map[string]string{"limits.linkMbps": "10", "bounds.retryBudgetRatio": "1"}, ""},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, findings := Parse("f", render(t, c.change))
			var text strings.Builder
			for _, f := range findings {
				text.WriteString(f.String() + "\n")
			}
			is.True(strings.Contains(text.String(), c.want))
			if name == "not a number" {
				is.True(len(findings) > 0)
				return
			}
			is.Equal(len(findings) > 0, c.want != "")
			is.True(s.Platform != (Platform{}))
		})
	}
}
