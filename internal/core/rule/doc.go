// Package rule reads the operators' rules and holds the set that is in force.
//
// A rule is one line: a kind, a name, and fields as key=value. A comment at
// the end of the line names who asked for it and is required. Blank lines and
// lines that hold only a comment are kept out of the set:
//
//	endpoint e1 kind=engine model=heat version=v1 url=http://127.0.0.1:9101 domain=a # ops
//	model heat version=v1 # ops
//	organisation lagos rate=20 burst=40 # claims desk
//	move heat from=v1 to=v2 by=2026-12-04T06:00:00Z # release team
//
// Parse reads a whole file and returns all that is wrong with it at once:
//
//	set, findings := rule.Parse("rules.txt", text)
//	for _, f := range findings {
//		fmt.Println(f) // rules.txt:3:19: rate: not a number: "fast"
//	}
package rule
