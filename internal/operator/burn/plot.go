package burn

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 6 * vg.Millimeter
	xMargin    = 0.6 // between the outer bars and the edges, in units of one objective
)

// WritePlot plots the burn rates of both windows. The extension of the file sets its format, such as .png or .svg.
func (r Report) WritePlot(file string) error {
	p := plot.New()
	p.Title.Text = "Burn of error budgets"
	p.Y.Label.Text = "burn rate"
	var short, long plotter.Values
	var names []string
	for _, l := range r.Lines {
		short = append(short, l.ShortBurn)
		long = append(long, l.LongBurn)
		names = append(names, string(l.Name))
	}
	if err := addBars(p, short, "5 minutes", -barWidth/2, 0); err != nil {
		return err
	}
	if err := addBars(p, long, "1 hour", barWidth/2, 1); err != nil {
		return err
	}
	p.NominalX(names...)
	p.X.Min = -xMargin
	p.X.Max = float64(len(names)-1) + xMargin
	p.Y.Min = 0
	p.Y.Max = max(p.Y.Max, slowBurn)
	p.Legend.Top = true
	return p.Save(plotWidth, plotHeight, file)
}

func addBars(p *plot.Plot, values plotter.Values, name string, offset vg.Length, shade int) error {
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return err
	}
	bars.Offset = offset
	bars.Color = barColours[shade]
	p.Add(bars)
	p.Legend.Add(name, bars)
	return nil
}

var barColours = []color.Gray{{Y: 80}, {Y: 170}}
