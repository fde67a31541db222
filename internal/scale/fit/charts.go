package fit

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"gonum.org/v1/plot/plotter"
)

// The limits of the cost of control at a dispatcher, which the charts show.
const (
	controlBytesLimit = 4000 // bytes/s, both directions
	controlCPULimit   = 48   // ms of CPU time/s
)

const (
	bytesPerKilobyte  = 1000
	kilobytesUnit     = "KB/s"
	cpuUnit           = "ms/s"
	bytesByKindPrefix = "bytes_by_kind."
)

// chart is a chart of metrics over the number of dispatchers.
type chart struct {
	file, title string
	unit        string  // of the vertical axis
	scale       float64 // number of the metrics' units in one unit of the axis
	limit       float64 // drawn as a line, in the metrics' unit; 0 if the chart has no limit
	series      []series
}

// series is a metric in a chart, under a label.
type series struct{ label, metric string }

// charts are the charts with a line for each metric. saveKindsChart draws the stacked chart.
var charts = []chart{
	{"bytes.svg", "control at a dispatcher, both ways", kilobytesUnit, bytesPerKilobyte, controlBytesLimit,
		[]series{{"p50", "control_bytes_s_p50"}, {"p99", "control_bytes_s_p99"}, {"at rest", "rest.bytes_s"}}},
	{"cpu.svg", "CPU for control", cpuUnit, 1, controlCPULimit,
		[]series{{"dispatcher", "control_cpu_ms_s"}, {"hollow dispatcher", "hollow_cpu_ms_s"}, {"seat, most", "seat_cpu_ms_s_most"}, {"leader", "leader_cpu_ms_s"}}},
	{"seats.svg", "control at seats, both ways", kilobytesUnit, bytesPerKilobyte, 0,
		[]series{{"seat, most", "seat_bytes_s_most"}, {"leader", "leader_bytes_s"}}},
}

// saveCharts writes the charts of the runs in which only the number of dispatchers varies. If the runs have no metric of a chart, its file is
// removed, so that no chart of earlier runs is left.
func saveCharts(dir string, runs []Run) error {
	sweep, constant := SelectSweep(runs, paramDispatchers)
	for _, c := range charts {
		if err := c.save(dir, sweep, constant); err != nil {
			return err
		}
	}
	return saveKindsChart(filepath.Join(dir, "kinds.svg"), sweep, constant)
}

// save draws and writes the chart of a sweep.
func (c chart) save(dir string, sweep []Run, constant string) error {
	path := filepath.Join(dir, c.file)
	canvas := newCanvas(c.title, constant, c.unit)
	drawn := 0
	for i, s := range c.series {
		points, medians := pointsAndMedians(sweep, s.metric, c.scale)
		if len(points) == 0 {
			continue
		}
		if err := canvas.addSeries(s.label, i, points, medians); err != nil {
			return err
		}
		drawn++
	}
	if drawn == 0 {
		return removeChart(path)
	}
	return canvas.save(path, sweep, c.limit/c.scale, c.unit)
}

// saveKindsChart draws and writes the composition of a dispatcher's control bytes: a band for each kind of message.
func saveKindsChart(path string, sweep []Run, constant string) error {
	bands := kindBands(sweep)
	if len(bands) == 0 {
		return removeChart(path)
	}
	canvas := newCanvas("control at a dispatcher by kind, both ways", constant, kilobytesUnit)
	if err := canvas.addBands(bands); err != nil {
		return err
	}
	return canvas.save(path, sweep, float64(controlBytesLimit)/bytesPerKilobyte, kilobytesUnit)
}

// removeChart removes a chart that an earlier save may have left.
func removeChart(path string) error {
	if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	return nil
}

// pointsAndMedians returns a metric of all runs over the number of dispatchers, and its median at each number of dispatchers. The runs must
// be sorted by the number of dispatchers. The metric is divided by the parameter scale.
func pointsAndMedians(sweep []Run, metric string, scale float64) (points, medians plotter.XYs) {
	values := map[float64][]float64{} // by number of dispatchers
	for _, run := range sweep {
		value, ok := run.Values[metric]
		if !ok {
			continue
		}
		dispatchers := run.Values[paramDispatchers]
		points = append(points, plotter.XY{X: dispatchers, Y: value / scale})
		if len(values[dispatchers]) == 0 {
			medians = append(medians, plotter.XY{X: dispatchers})
		}
		values[dispatchers] = append(values[dispatchers], value/scale)
	}
	for i := range medians {
		medians[i].Y = median(values[medians[i].X])
	}
	return points, medians
}

// band is a kind of control message in a stacked chart.
type band struct {
	label string
	top   plotter.XYs // the bytes of the kind and of all kinds below it
}

// kindBands stacks the medians of a dispatcher's bytes by kind, in KB/s over the number of dispatchers.
func kindBands(sweep []Run) []band {
	var dispatchers []float64
	for _, run := range sweep {
		dispatchers = append(dispatchers, run.Values[paramDispatchers])
	}
	dispatchers = slices.Compact(dispatchers) // the runs are sorted
	heights := map[float64]float64{}          // of the bands so far, by number of dispatchers
	var bands []band
	for _, metric := range valueNames(sweep) {
		kind, ok := strings.CutPrefix(metric, bytesByKindPrefix)
		if !ok {
			continue
		}
		_, medians := pointsAndMedians(sweep, metric, bytesPerKilobyte)
		for _, point := range medians {
			heights[point.X] += point.Y
		}
		var top plotter.XYs
		for _, x := range dispatchers {
			top = append(top, plotter.XY{X: x, Y: heights[x]})
		}
		bands = append(bands, band{kind, top})
	}
	return bands
}
