// Package cuts logs the requests that end without a whole answer.
//
// Each of them is named. In a burst, only some get a line of their own, and the
// others are named in lists, so that the volume stays small without sampling:
//
//	c := cuts.Recorder{Log: complete}
//	c.Record(zap.WarnLevel, "stream: given up", "9c41d07be2a35f68", "deadline", fields...)
//	c.Flush() // regularly, and at the end
package cuts
