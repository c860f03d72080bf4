package control

import (
	"fmt"
	"runtime"
	"strings"
	"time"

	"jaywind/internal/core/rule"
	"jaywind/internal/measure/report"
	"jaywind/internal/measure/usage"
)

// The sizes for which the router is specified.
const (
	targetOrganisations = 27_000
	targetReplicas      = 940
	targetModels        = 7
)

// measureRules measures the time and memory that a router needs for rules of the specified size.
func measureRules() []report.Row {
	text := targetRules()
	before := usage.LiveHeap()
	start := time.Now()
	set, findings := rule.Parse("rules", text)
	elapsed := time.Since(start)
	heapBytes := usage.LiveHeap() - before
	runtime.KeepAlive(set)
	row := func(measure string, value float64, unit string) report.Row {
		return report.Row{Study: studyName, Case: "rules at the target", Measure: measure, Value: value, Unit: unit}
	}
	return []report.Row{
		row("findings", float64(len(findings)), "1").AtMost(0),
		row("text", float64(len(text))/1e6, "MB"),
		row("live memory of the set", float64(heapBytes)/1e6, "MB").AtMost(memoryBudget),
		row("time to read", float64(elapsed.Microseconds())/1000, "ms"),
	}
}

func targetRules() string {
	var b strings.Builder
	for i := range targetModels {
		fmt.Fprintf(&b, "model m%d version=v1 # target\n", i)
	}
	for i := range targetReplicas {
		fmt.Fprintf(&b, "endpoint e%d model=m%d version=v1 url=http://10.0.%d.%d:9000 domain=%s # target\n",
			i, i%targetModels, i/250, i%250, string(rune('a'+i%4)))
	}
	for i := range targetOrganisations {
		fmt.Fprintf(&b, "organisation org%d rate=%d burst=%d weight=1 # target\n", i, i%20+1, i%40+1)
	}
	return b.String()
}
