package history

import (
	"errors"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// ErrEmpty is returned for a history with fewer than two snapshots.
var ErrEmpty = errors.New("no snapshots to draw")

const (
	plotWidth   = 24 * vg.Centimeter
	panelHeight = 6 * vg.Centimeter
	headroom    = 1.3 // factor of the y axis, to make room for the legend
	firstEvent  = "jaywind_streams_first_ms"
)

// curve is a named series of points in a panel.
type curve struct {
	name   string
	points []point
}

// WritePlot plots requests by outcome, the time to the first event, the number of VMs and the version of the configuration
// over time. The extension of the file sets its format, such as .png or .svg.
func (h History) WritePlot(file string) error {
	if len(h.Snapshots) < 2 {
		return ErrEmpty
	}
	_, median := h.extremes(firstEvent + `{quantile="0.5"}`)
	_, late := h.extremes(firstEvent + `{quantile="0.95"}`)
	fewest, mostMembers := h.extremes("jaywind_members")
	oldest, newest := h.extremes("jaywind_config_version")
	panels := []struct {
		title string
		lines []curve
	}{
		{"requests a second", []curve{
			{"answered", h.rates(hasOutcome("answered"))},
			{"failed", h.rates(hasOutcome("failed"))},
			{"refused", h.rates(func(n string) bool { return strings.HasPrefix(n, "jaywind_requests_refused_") })},
			{"broken off", h.rates(func(n string) bool { return n == "jaywind_streams_broken" })},
			{"caller gone", h.rates(func(n string) bool { return n == "jaywind_requests_caller_gone" })},
		}},
		{"first event, ms, at the slowest VM", []curve{{"median", median}, {"0.95", late}}},
		{"VMs", []curve{{"answering", h.answering()}, {"members, most", mostMembers}, {"members, fewest", fewest}}},
		{"version of the configuration", []curve{{"newest", newest}, {"oldest", oldest}}},
	}
	canvas, err := draw.NewFormattedCanvas(plotWidth, panelHeight*vg.Length(len(panels)), strings.TrimPrefix(filepath.Ext(file), "."))
	if err != nil {
		return err
	}
	column := make([][]*plot.Plot, len(panels))
	for i, p := range panels {
		drawn, err := panel(p.title, p.lines)
		if err != nil {
			return err
		}
		column[i] = []*plot.Plot{drawn}
	}
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadY: vg.Millimeter * 4}
	for i, row := range plot.Align(column, tiles, draw.New(canvas)) {
		column[i][0].Draw(row[0])
	}
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	if _, err := canvas.WriteTo(out); err != nil {
		_ = out.Close()
		return fmt.Errorf("%s: %w", file, err)
	}
	return out.Close()
}

func panel(title string, lines []curve) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Min = 0
	p.Legend.Top = true
	for i, l := range lines {
		if len(l.points) == 0 {
			continue
		}
		xys := make(plotter.XYs, len(l.points))
		for j, at := range l.points {
			xys[j] = plotter.XY{X: at.seconds, Y: at.value}
		}
		curve, err := plotter.NewLine(xys)
		if err != nil {
			return nil, err
		}
		curve.Color = colours[i%len(colours)]
		curve.Width = vg.Points(1.5)
		p.Add(curve)
		p.Legend.Add(l.name, curve)
	}
	p.Y.Max *= headroom
	return p, nil
}

var colours = []color.RGBA{
	{R: 30, G: 110, B: 60, A: 255}, {R: 190, G: 40, B: 40, A: 255}, {R: 220, G: 140, B: 20, A: 255}, {R: 60, G: 60, B: 160, A: 255}, {R: 120, G: 120, B: 120, A: 255},
}
