// Package burn measures how fast the error budgets of service level objectives are spent.
//
// A Recorder counts good and bad outcomes of each objective in short buckets.
// The burn rate of a window is its share of bad outcomes divided by the share that
// the objective allows. At 1 the budget lasts exactly for its period; at 14.4 a
// month's budget is spent in two days. An alarm requires a high burn rate in both
// the short and the long window, so that it starts soon after a fault and ends soon
// after it:
//
//	r := &burn.Recorder{}
//	r.Add(burn.Completion, true, now)
//	report := burn.NewReport(objectives, []burn.Counts{r.Counts(now)})
//	report.WriteText(os.Stdout)
package burn
