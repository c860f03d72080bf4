package rules

import (
	"strings"
)

// Diff returns the lines that differ between two texts, prefixed with "- " if from the older and "+ " if from the newer one.
func Diff(older, newer string) string {
	before := strings.Split(strings.TrimRight(older, "\n"), "\n")
	after := strings.Split(strings.TrimRight(newer, "\n"), "\n")
	return linesOnlyIn(before, after, "- ") + linesOnlyIn(after, before, "+ ")
}

// linesOnlyIn returns the lines that occur more often in a than in b, each with prefix.
func linesOnlyIn(a, b []string, prefix string) string {
	count := map[string]int{}
	for _, l := range b {
		count[l]++
	}
	var out strings.Builder
	for _, l := range a {
		if count[l] > 0 {
			count[l]--
			continue
		}
		if l != "" {
			out.WriteString(prefix + l + "\n")
		}
	}
	return out.String()
}
