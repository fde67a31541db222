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
	bytesLimit = 4000 // a second, both ways
	cpuLimit   = 48   // ms/s
)

// series is a figure in a chart.
type series struct {
	name, figure string
}

// draw writes the charts, over the runs in which the number of dispatchers alone varies. A chart without a figure is not
// written, and an old one of its name goes.
func draw(dir string, rows []Row) error {
	along, constant := Along(rows, "dispatchers")
	for _, c := range []struct {
		file, title, unit string
		limit, scale      float64
		of                []series
	}{
		{"bytes.svg", "control at a dispatcher, both ways", "KB/s", bytesLimit, 1000,
			[]series{{"p50", "control_bytes_s_p50"}, {"p99", "control_bytes_s_p99"}, {"at rest", "rest.bytes_s"}}},
		{"cpu.svg", "CPU for control", "ms/s", cpuLimit, 1,
			[]series{{"dispatcher", "control_cpu_ms_s"}, {"hollow dispatcher", "hollow_cpu_ms_s"}, {"seat, most", "seat_cpu_ms_s_most"}, {"leader", "leader_cpu_ms_s"}}},
		{"seats.svg", "control at seats, both ways", "KB/s", 0, 1000, []series{{"seat, most", "seat_bytes_s_most"}, {"leader", "leader_bytes_s"}}},
	} {
		p := chart(c.title, constant, c.unit)
		some := false
		for i, s := range c.of {
			points, middle := points(along, s.figure, c.scale)
			if len(points) == 0 {
				continue
			}
			some = true
			if err := lines(p, s.name, i, points, middle); err != nil {
				return err
			}
		}
		if err := save(p, filepath.Join(dir, c.file), some, along, c.limit/c.scale, c.unit); err != nil {
			return err
		}
	}
	return stacked(filepath.Join(dir, "kinds.svg"), along, constant)
}

func chart(title, constant, unit string) *plot.Plot {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "dispatchers", unit
	if constant != "" {
		p.Title.Text += "\n" + constant
	}
	p.X.Min, p.Y.Min = 0, 0
	p.Legend.Top, p.Legend.Left = true, true
	return p
}

// save adds the limit and the grid, and writes the chart.
func save(p *plot.Plot, path string, some bool, along []Row, limit float64, unit string) error {
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
			maximum = max(maximum, r.Numbers["dispatchers"])
		}
		l, err := plotter.NewLine(plotter.XYs{{X: 0, Y: limit}, {X: maximum, Y: limit}})
		if err != nil {
			return err
		}
		l.Color, l.Dashes = color.Black, []vg.Length{4, 4}
		p.Add(l)
		p.Legend.Add("a dispatcher's limit, "+exact(limit)+" "+unit, l)
	}
	p.Y.Max *= 1.3 // room for the legend
	return p.Save(540, 320, path)
}

// points gives a figure of all runs, and its median at each number of dispatchers.
func points(along []Row, figure string, scale float64) (all, middle plotter.XYs) {
	by := map[float64][]float64{}
	for _, r := range along {
		if y, ok := r.Numbers[figure]; ok {
			x := r.Numbers["dispatchers"]
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

// lines draws a figure: a point for each run, a line through the medians.
func lines(p *plot.Plot, name string, i int, all, middle plotter.XYs) error {
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

// shade gives a colour to each of so many that the soft ones do not do.
func shade(i int) color.Color {
	all := append(slices.Clone(plotutil.SoftColors), plotutil.DarkColors...)
	return all[i%len(all)]
}

// stacked draws what a dispatcher's bytes are made of: a band for each kind, at the medians over seeds.
func stacked(path string, along []Row, constant string) error {
	const prefix = "bytes_by_kind."
	p := chart("control at a dispatcher by kind, both ways", constant, "KB/s")
	var bands []*plotter.Line
	var labels []string
	sum := map[float64]float64{}
	for _, figure := range names(along) {
		if !strings.HasPrefix(figure, prefix) {
			continue
		}
		_, middle := points(along, figure, 1000)
		have := map[float64]float64{}
		for _, xy := range middle {
			have[xy.X] = xy.Y
		}
		var top plotter.XYs
		for _, r := range along {
			x := r.Numbers["dispatchers"]
			if len(top) == 0 || top[len(top)-1].X != x {
				sum[x] += have[x]
				top = append(top, plotter.XY{X: x, Y: sum[x]})
			}
		}
		l, err := plotter.NewLine(top)
		if err != nil {
			return err
		}
		l.Color = shade(len(bands))
		l.FillColor = l.Color
		bands, labels = append(bands, l), append(labels, strings.TrimPrefix(figure, prefix))
	}
	for i, l := range slices.Backward(bands) { // the lower in front of the higher
		p.Add(l)
		p.Legend.Add(labels[i], l)
	}
	return save(p, path, len(bands) > 0, along, float64(bytesLimit)/1000, "KB/s")
}
