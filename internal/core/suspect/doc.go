// Package suspect finds the parts of prompts that crash engines.
//
// A Finder collects the runs that were lost at their beginning because their engines ended. A part is a candidate if prompts of different
// requests had it in common at several such engines, and the losses are not explained better by another part. Parts under which a run has
// survived its beginning are sound; each router remembers these in Survivors, and a candidate is quarantined only if no router does:
//
//	f.Add(loss, now)
//	for _, g := range f.Candidates(now) {
//		if !survivors.Contain(g) {
//			quarantine.Add(g, now)
//		}
//	}
//
// A whole request counts as a part as well, which only its repeats have. For it, one request is enough: endpoints that ended under its runs
// at several places or times, and no other request or part that explains these ends as well.
//
// A Group of several parts means that all losses had all of them, so that any of them may be the cause; a request is kept back only if it
// has all of them. The package does no I/O.
package suspect
