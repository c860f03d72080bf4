// Package report collects measured values and prints them as a table or as CSV.
//
//	var t report.Table
//	t.Add(report.Row{Study: "resume", Case: "engine killed", Measure: "p95", Value: 41, Unit: "ms"})
//	t.WriteText(os.Stdout)
package report
