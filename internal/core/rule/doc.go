// Package rule parses the operators' rules into a set.
//
// A rule is one line: a kind, a name, and fields as key=value. Each rule requires
// a trailing comment that names who requested it. Blank lines and lines with only
// a comment are ignored:
//
//	endpoint e1 kind=engine model=heat version=v1 url=http://127.0.0.1:9101 domain=a # ops
//	model heat version=v1 # ops
//	organisation lagos rate=20 burst=40 # claims desk
//	move heat from=v1 to=v2 by=2026-12-04T06:00:00Z # release team
//
// Parse reads a whole file and returns all errors in it:
//
//	set, findings := rule.Parse("rules.txt", text)
//	for _, f := range findings {
//		fmt.Println(f) // rules.txt:3:19: rate: not a number of 0 or more: "fast"
//	}
package rule
