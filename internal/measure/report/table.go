package report

import (
	"encoding/csv"
	"fmt"
	"io"
	"text/tabwriter"
)

// Row is a measured value with its target, if any.
type Row struct {
	Study   string
	Case    string
	Measure string
	Value   float64
	Unit    string
	Target  string // required range, such as "<= 4000"; empty for none
	Missed  bool   // the value is outside the target
}

// AtMost returns the row with limit as the highest allowed value.
func (r Row) AtMost(limit float64) Row {
	r.Target = fmt.Sprintf("<= %g", limit)
	r.Missed = r.Value > limit
	return r
}

// AtLeast returns the row with limit as the lowest allowed value.
func (r Row) AtLeast(limit float64) Row {
	r.Target = fmt.Sprintf(">= %g", limit)
	r.Missed = r.Value < limit
	return r
}

func (r Row) verdict() string {
	switch {
	case r.Target == "":
		return ""
	case r.Missed:
		return "MISSED"
	default:
		return "met"
	}
}

// Table holds rows in the order in which they were added. Its zero value is empty and ready to use.
type Table struct {
	Rows []Row
}

// Add appends rows.
func (t *Table) Add(rows ...Row) {
	t.Rows = append(t.Rows, rows...)
}

// WriteText writes the table as aligned text.
func (t *Table) WriteText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "study\tcase\tmeasure\tvalue\tunit\ttarget\t")
	for _, r := range t.Rows {
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%.4g\t%s\t%s\t%s\n", r.Study, r.Case, r.Measure, r.Value, r.Unit, r.Target, r.verdict())
	}
	return tw.Flush()
}

// WriteCSV writes the table as CSV with a header line.
func (t *Table) WriteCSV(w io.Writer) error {
	c := csv.NewWriter(w)
	_ = c.Write([]string{"study", "case", "measure", "value", "unit", "target", "verdict"})
	for _, r := range t.Rows {
		_ = c.Write([]string{r.Study, r.Case, r.Measure, fmt.Sprint(r.Value), r.Unit, r.Target, r.verdict()})
	}
	c.Flush()
	return c.Error()
}
