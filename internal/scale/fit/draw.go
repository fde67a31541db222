package fit

import (
	"errors"
	"image/color"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	vgdraw "gonum.org/v1/plot/vg/draw"
)

// What the plan gives a dispatcher for control.
const (
	controlBytesLimit = 4000 // a second, both ways
	controlCPULimit   = 48   // ms/s
)

// series is a figure in a chart.
type series struct {
	name, metric string
}

// saveCharts writes the charts, over the runs in which the number of dispatchers alone varies. A chart without a figure is not
// written, and an old one of its name goes.
func saveCharts(dir string, rows []Run) error {
	along, constant := SelectSweep(rows, "dispatchers")
	for _, c := range []struct {
		file, title, unit string
		limit, scale      float64
		of                []series
	}{
		{"bytes.svg", "control at a dispatcher, both ways", "KB/s", controlBytesLimit, 1000,
			[]series{{"p50", "control_bytes_s_p50"}, {"p99", "control_bytes_s_p99"}, {"at rest", "rest.bytes_s"}}},
		{"cpu.svg", "CPU for control", "ms/s", controlCPULimit, 1,
			[]series{{"dispatcher", "control_cpu_ms_s"}, {"hollow dispatcher", "hollow_cpu_ms_s"}, {"seat, most", "seat_cpu_ms_s_most"}, {"leader", "leader_cpu_ms_s"}}},
		{"seats.svg", "control at seats, both ways", "KB/s", 0, 1000, []series{{"seat, most", "seat_bytes_s_most"}, {"leader", "leader_bytes_s"}}},
	} {
		p := newPlot(c.title, constant, c.unit)
		some := false
		for i, s := range c.of {
			points, middle := scatterAndMedians(along, s.metric, c.scale)
			if len(points) == 0 {
				continue
			}
			some = true
			if err := addSeries(p, s.name, i, points, middle); err != nil {
				return err
			}
		}
		if err := savePlot(p, filepath.Join(dir, c.file), some, along, c.limit/c.scale, c.unit); err != nil {
			return err
		}
	}
	return saveBytesByKind(filepath.Join(dir, "kinds.svg"), along, constant)
}

func newPlot(title, constant, unit string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "dispatchers", unit
	if constant != "" {
		p.Title.Text += "\n" + constant
	}
	p.X.Min, p.Y.Min = 0, 0
	p.Legend.Top, p.Legend.Left = true, true
	return p
}

// savePlot adds the limit and the grid, and writes the chart.
func savePlot(p *plot.Plot, path string, some bool, along []Run, limit float64, unit string) error {
	if !some {
		if err := os.Remove(path); !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		return nil
	}
	p.Add(plotter.NewGrid())
	if limit > 0 {
		maximum := 0.0
		for _, r := range along {
			maximum = max(maximum, r.Values["dispatchers"])
		}
		l, err := plotter.NewLine(plotter.XYs{{X: 0, Y: limit}, {X: maximum, Y: limit}})
		if err != nil {
			return err
		}
		l.Color, l.Dashes = color.Black, []vg.Length{4, 4}
		p.Add(l)
		p.Legend.Add("a dispatcher's limit, "+formatExact(limit)+" "+unit, l)
	}
	p.Y.Max *= 1.3 // room for the legend
	return p.Save(540, 320, path)
}

// scatterAndMedians gives a figure of all runs, and its median at each number of dispatchers.
func scatterAndMedians(along []Run, figure string, scale float64) (all, middle plotter.XYs) {
	by := map[float64][]float64{}
	for _, r := range along {
		if y, ok := r.Values[figure]; ok {
			x := r.Values["dispatchers"]
			all = append(all, plotter.XY{X: x, Y: y / scale})
			if by[x] = append(by[x], y/scale); len(by[x]) == 1 {
				middle = append(middle, plotter.XY{X: x})
			}
		}
	}
	for i := range middle { // by number, as the runs are sorted
		middle[i].Y = median(by[middle[i].X])
	}
	return all, middle
}

// addSeries draws a figure: a point for each run, a line through the medians.
func addSeries(p *plot.Plot, name string, i int, all, middle plotter.XYs) error {
	l, err := plotter.NewLine(middle)
	if err != nil {
		return err
	}
	s, err := plotter.NewScatter(all)
	if err != nil {
		return err
	}
	l.Color, l.Width = plotutil.Color(i), vg.Points(1.5)
	s.GlyphStyle = vgdraw.GlyphStyle{Color: plotutil.Color(i), Radius: vg.Points(2.5), Shape: vgdraw.CircleGlyph{}}
	p.Add(l, s)
	p.Legend.Add(name, l, s)
	return nil
}

// bandColor gives a colour to each of so many that the soft ones do not do.
func bandColor(i int) color.Color {
	all := append(slices.Clone(plotutil.SoftColors), plotutil.DarkColors...)
	return all[i%len(all)]
}

// saveBytesByKind draws what a dispatcher's bytes are made of: a band for each kind, at the medians over seeds.
func saveBytesByKind(path string, along []Run, constant string) error {
	const prefix = "bytes_by_kind."
	p := newPlot("control at a dispatcher by kind, both ways", constant, "KB/s")
	var bands []*plotter.Line
	var labels []string
	sum := map[float64]float64{}
	for _, figure := range valueNames(along) {
		if !strings.HasPrefix(figure, prefix) {
			continue
		}
		_, middle := scatterAndMedians(along, figure, 1000)
		have := map[float64]float64{}
		for _, xy := range middle {
			have[xy.X] = xy.Y
		}
		var top plotter.XYs
		for _, r := range along {
			x := r.Values["dispatchers"]
			if len(top) == 0 || top[len(top)-1].X != x {
				sum[x] += have[x]
				top = append(top, plotter.XY{X: x, Y: sum[x]})
			}
		}
		l, err := plotter.NewLine(top)
		if err != nil {
			return err
		}
		l.Color = bandColor(len(bands))
		l.FillColor = l.Color
		bands, labels = append(bands, l), append(labels, strings.TrimPrefix(figure, prefix))
	}
	for i, l := range slices.Backward(bands) { // the lower in front of the higher
		p.Add(l)
		p.Legend.Add(labels[i], l)
	}
	return savePlot(p, path, len(bands) > 0, along, float64(controlBytesLimit)/1000, "KB/s")
}
