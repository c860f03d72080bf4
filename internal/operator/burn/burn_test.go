package burn

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWindows(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	tests := map[string]struct {
		age         time.Duration
		short, long uint64
	}{
		"now":                       {age: 0, short: 1, long: 1},
		"within the short window":   {age: ShortWindow - bucketWidth, short: 1, long: 1},
		"past the short window":     {age: ShortWindow, long: 1},
		"within the long window":    {age: LongWindow - bucketWidth, long: 1},
		"past the long window":      {age: LongWindow},
		"the ring has wrapped":      {age: 2 * LongWindow},
		"recorded after the report": {age: -bucketWidth},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &Recorder{}
			r.Add(Completion, false, start)
			got := r.Counts(start.Add(c.age))
			is.Equal(got.Short[Completion].Total, c.short)
			is.Equal(got.Long[Completion].Total, c.long)
		})
	}
}

func TestAlarm(t *testing.T) {
	tests := map[string]struct {
		short, long Count
		want        Alarm
	}{
		"nothing recorded":        {want: AlarmNone},
		"all good":                {short: Count{100, 100}, long: Count{100, 100}, want: AlarmNone},
		"both windows burn fast":  {short: Count{80, 100}, long: Count{85, 100}, want: AlarmFast},
		"both windows burn slow":  {short: Count{93, 100}, long: Count{93, 100}, want: AlarmSlow},
		"only the short one does": {short: Count{0, 100}, long: Count{9999, 10000}, want: AlarmNone},
		"the fault is over":       {short: Count{100, 100}, long: Count{50, 100}, want: AlarmNone},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			counts := Counts{Short: map[ObjectiveName]Count{Completion: c.short}, Long: map[ObjectiveName]Count{Completion: c.long}}
			report := NewReport([]Objective{{Name: Completion, Target: 0.99}}, []Counts{counts})
			is.Equal(report.Lines[0].Alarm, c.want)
			var text strings.Builder
			is.NoErr(report.WriteText(&text))
			is.True(strings.Contains(text.String(), string(c.want)))
		})
	}
}

func TestWritePlot(t *testing.T) {
	tests := map[string]struct {
		file  string
		start string
		fails bool
	}{
		"png":            {file: "burn.png", start: "\x89PNG"},
		"svg":            {file: "burn.svg", start: "<?xml"},
		"unknown ending": {file: "burn.txt", fails: true},
	}
	report := NewReport([]Objective{{Name: Completion, Target: 0.99}, {Name: TokenGap, Target: 0.95}}, []Counts{{Short: map[ObjectiveName]Count{Completion: {90, 100}}}})
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), c.file)
			is.Equal(report.WritePlot(file) != nil, c.fails)
			if !c.fails {
				text, err := os.ReadFile(file)
				is.NoErr(err)
				is.True(strings.HasPrefix(string(text), c.start))
			}
		})
	}
}
