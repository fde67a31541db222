package faults

import (
	"fmt"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	chartWidth       = vg.Length(720) // points, as all lengths below
	chartMargins     = 60             // above and below the rows, together
	chartRowHeight   = 40             // a row for each process
	chartMinRows     = 3
	chartColors      = 7
	chartLineOffset  = 0.14 // of a row, between the lines of two versions
	chartFaultWidth  = vg.Length(14)
	chartLeaseWidth  = vg.Length(4)
	chartLapsedWidth = vg.Length(1)
)

var chartFaultColor = color.Gray{Y: 200}

// Chart draws the versions that each process acted on over time and writes the chart to a file. The file's extension sets the format. Each
// version has a color. Its line is thin while the process had no lease. Events are gray bands. Events of Leader are at row -1, not at the
// process that was the leader.
func (r *Result) Chart(path string) error {
	chart := plot.New()
	chart.Title.Text = fmt.Sprintf("versions by process, seed %d: contradiction %.0f ms of %.0f ms", r.Seed, r.ContradictionMS, r.BoundMS)
	chart.X.Label.Text, chart.Y.Label.Text = "seconds", "process"
	addLine := func(y float64, from, to time.Time, lineColor color.Color, width vg.Length) error {
		line, err := plotter.NewLine(plotter.XYs{{X: from.Sub(r.Begin).Seconds(), Y: y}, {X: to.Sub(r.Begin).Seconds(), Y: y}})
		if err != nil {
			return err
		}
		line.Color, line.Width = lineColor, width
		chart.Add(line)
		return nil
	}
	for _, event := range r.Events {
		if err := addLine(float64(event.Process), r.Begin.Add(event.At), r.Begin.Add(event.At+event.For), chartFaultColor, chartFaultWidth); err != nil {
			return err
		}
	}
	for process, states := range r.EffectiveStates {
		for _, state := range states {
			if !state.To.After(state.From) {
				continue
			}
			width := chartLeaseWidth
			if state.Lapsed {
				width = chartLapsedWidth
			}
			for i, version := range state.Versions {
				y := float64(process) + chartLineOffset*float64(i)
				if err := addLine(y, state.From, state.To, plotutil.Color(int(version%chartColors)), width); err != nil {
					return err
				}
			}
		}
	}
	rows := max(len(r.EffectiveStates), chartMinRows)
	return chart.Save(chartWidth, vg.Points(float64(chartMargins+chartRowHeight*rows)), path)
}
