package rules

import (
	"strings"
)

// Diff returns the lines that differ between two texts, with - before those of the old one and + before those of the new one.
func Diff(older, newer string) string {
	before := strings.Split(strings.TrimRight(older, "\n"), "\n")
	after := strings.Split(strings.TrimRight(newer, "\n"), "\n")
	return only(before, after, "- ") + only(after, before, "+ ")
}

// only returns the lines that stand in a more often than in b.
func only(a, b []string, mark string) string {
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
			out.WriteString(mark + l + "\n")
		}
	}
	return out.String()
}
