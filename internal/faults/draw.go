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

// Chart draws what each process acted on over time: a colour for each version, both while it kept to two, thin without a
// lease; faults as grey bands.
func (r *Result) Chart(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("versions by process, seed %d: contradiction %.0f ms of %.0f ms", r.Seed, r.ContradictionMS, r.BoundMS)
	p.X.Label.Text, p.Y.Label.Text = "seconds", "process"
	line := func(y float64, from, to time.Time, c color.Color, width vg.Length) error {
		l, err := plotter.NewLine(plotter.XYs{{X: from.Sub(r.Begin).Seconds(), Y: y}, {X: to.Sub(r.Begin).Seconds(), Y: y}})
		if err != nil {
			return err
		}
		l.Color, l.Width = c, width
		p.Add(l)
		return nil
	}
	for _, e := range r.Events {
		if err := line(float64(e.Process), r.Begin.Add(e.At), r.Begin.Add(e.At+e.For), color.Gray{200}, 14); err != nil {
			return err
		}
	}
	for i, all := range r.EffectiveStates {
		for _, s := range all {
			width := vg.Points(4)
			if s.Lapsed {
				width = 1
			}
			for n, v := range s.Versions {
				if !s.To.After(s.From) {
					continue
				}
				if err := line(float64(i)+0.14*float64(n), s.From, s.To, plotutil.Color(int(v%7)), width); err != nil {
					return err
				}
			}
		}
	}
	return p.Save(720, vg.Points(60+40*float64(max(len(r.EffectiveStates), 3))), path)
}
