package burn

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Alarm is the urgency of an objective's burn rate.
type Alarm string

// The alarms, for a budget that covers 30 days.
const (
	AlarmNone Alarm = "ok"
	AlarmSlow Alarm = "ticket" // the budget is spent in 5 days
	AlarmFast Alarm = "page"   // the budget is spent in 2 days
)

const (
	fastBurn = 14.4
	slowBurn = 6
)

// Objective is the share of outcomes that must be good.
type Objective struct {
	Name   ObjectiveName `json:"name"`
	Target float64       `json:"target"`
}

// ReportLine is the burn of one objective.
type ReportLine struct {
	Objective
	Short     Count   `json:"short"`
	Long      Count   `json:"long"`
	ShortBurn float64 `json:"shortburn"`
	LongBurn  float64 `json:"longburn"`
	Alarm     Alarm   `json:"alarm"`
}

// Report is the burn of all objectives, summed over routers.
type Report struct {
	Routers int          `json:"routers"`
	Lines   []ReportLine `json:"lines"`
}

// NewReport sums the counts of all routers and compares them with the objectives.
func NewReport(objectives []Objective, routers []Counts) Report {
	r := Report{Routers: len(routers)}
	for _, o := range objectives {
		l := ReportLine{Objective: o}
		for _, c := range routers {
			l.Short.add(c.Short[o.Name])
			l.Long.add(c.Long[o.Name])
		}
		l.ShortBurn = burnRate(l.Short, o.Target)
		l.LongBurn = burnRate(l.Long, o.Target)
		l.Alarm = alarmOf(min(l.ShortBurn, l.LongBurn))
		r.Lines = append(r.Lines, l)
	}
	return r
}

// burnRate returns the burn rate of a count, or 0 if nothing was counted.
func burnRate(c Count, target float64) float64 {
	if c.Total == 0 {
		return 0
	}
	bad := float64(c.Total-c.Good) / float64(c.Total)
	return bad / (1 - target)
}

func alarmOf(burn float64) Alarm {
	switch {
	case burn >= fastBurn:
		return AlarmFast
	case burn >= slowBurn:
		return AlarmSlow
	default:
		return AlarmNone
	}
}

// WriteText writes the report as a text table.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "objective\ttarget\tgood 5m\tof\tburn 5m\tgood 1h\tof\tburn 1h\talarm\t\n")
	for _, l := range r.Lines {
		_, _ = fmt.Fprintf(t, "%s\t%.4g\t%d\t%d\t%.2f\t%d\t%d\t%.2f\t%s\t\n", l.Name, l.Target,
			l.Short.Good, l.Short.Total, l.ShortBurn, l.Long.Good, l.Long.Total, l.LongBurn, l.Alarm)
	}
	return t.Flush()
}
