// Package burn measures how fast service levels use up their error budgets.
//
// A Recorder counts good and bad outcomes of each objective in short buckets.
// The burn rate of a window is its share of bad outcomes over the share that the
// objective allows: at 1 the budget lasts exactly for its period, at 14.4 a
// month's budget is gone in two days. An objective alarms when both the short
// and the long window burn fast, so that it starts soon and ends soon:
//
//	r := &burn.Recorder{}
//	r.Add(burn.Whole, true, now)
//	report := burn.NewReport(objectives, []burn.Counts{r.Counts(now)})
//	report.WriteText(os.Stdout)
package burn
