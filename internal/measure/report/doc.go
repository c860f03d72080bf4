// Package report collects measured rows and prints them as a table or CSV.
//
//	var t report.Table
//	t.Add(report.Row{Study: "resume", Case: "engine killed", Measure: "p95", Value: 41, Unit: "ms"})
//	t.WriteText(os.Stdout)
package report
