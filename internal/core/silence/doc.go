// Package silence tells an engine that has fallen silent alone from many that have fallen silent together.
//
// An engine that is lost and one that only pauses look alike at first. The more engines fall silent at the same moment, in
// several failure domains, the less likely they are all lost, and the better it is to wait for them:
//
//	var t silence.Tracker
//	t.Begin("e1", "domain1", now) // its run produces events from now on
//	t.Hear("e1", now)             // an event, or any other answer
//	if t.Survey("e1", now).IsCommon() {
//		// wait on
//	}
package silence
