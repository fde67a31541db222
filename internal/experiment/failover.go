package experiment

import (
	"context"
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"brassdale/internal/emulator"
	"brassdale/scheduler"
)

// ZoneExperiment is a works of four zones in two regions for experiments on failover.
type ZoneExperiment struct {
	Dispatchers, Workers int
	Seeds                int
}

// ZoneCase is a trouble, with the load that it comes at.
type ZoneCase struct {
	Name   string
	Load   float64
	Faults []emulator.Fault
}

const (
	zoneSlots         = 5
	zoneWork          = 0.2 // seconds
	zoneFaultAt       = 15 * time.Second
	zoneFaultDuration = 20 * time.Second
	zoneSpan          = 75 * time.Second
)

// ZoneCases are what is played. Times are of the run.
func ZoneCases() []ZoneCase {
	fault := func(kind emulator.FaultKind, at, span time.Duration, zone, from int, size float64) emulator.Fault {
		return emulator.Fault{Kind: kind, At: at, For: span, Zone: zone, From: from, Size: size, Share: 1}
	}
	var flaps []emulator.Fault
	for at := zoneFaultAt; at < zoneFaultAt+zoneFaultDuration; at += 6 * time.Second {
		flaps = append(flaps, fault(emulator.ZoneLost, at, 3*time.Second, 1, 0, 0))
	}
	return []ZoneCase{
		{"calm", 0.6, nil},
		{"lost", 0.55, []emulator.Fault{fault(emulator.ZoneLost, zoneFaultAt, zoneFaultDuration, 1, 0, 0)}},
		{"lost, full", 0.66, []emulator.Fault{fault(emulator.ZoneLost, zoneFaultAt, zoneFaultDuration, 1, 0, 0)}},
		{"two lost", 0.7, []emulator.Fault{fault(emulator.ZoneLost, zoneFaultAt, zoneFaultDuration, 1, 0, 0), fault(emulator.ZoneLost, zoneFaultAt+5*time.Second, zoneFaultDuration-5*time.Second, 3, 0, 0)}},
		{"cut one way", 0.6, []emulator.Fault{fault(emulator.Apart, zoneFaultAt, zoneFaultDuration, 1, 1, 0)}},
		{"regions cut", 0.6, []emulator.Fault{fault(emulator.Apart, zoneFaultAt, zoneFaultDuration, 1, 3, 0), fault(emulator.Apart, zoneFaultAt, zoneFaultDuration, 1, 4, 0),
			fault(emulator.Apart, zoneFaultAt, zoneFaultDuration, 2, 3, 0), fault(emulator.Apart, zoneFaultAt, zoneFaultDuration, 2, 4, 0), fault(emulator.Apart, zoneFaultAt, zoneFaultDuration, 3, 1, 0),
			fault(emulator.Apart, zoneFaultAt, zoneFaultDuration, 4, 1, 0), fault(emulator.Apart, zoneFaultAt, zoneFaultDuration, 3, 2, 0), fault(emulator.Apart, zoneFaultAt, zoneFaultDuration, 4, 2, 0)}},
		{"ten times as far", 0.6, []emulator.Fault{fault(emulator.Far, zoneFaultAt, zoneFaultDuration, 1, 0, 10)}},
		{"flapping", 0.55, flaps},
	}
}

// ZoneModes are who decides, in the order of the tables.
var ZoneModes = []string{"", "near", "spread", "plan"}

var zoneModeTitles = map[string]string{"": "each for itself", "near": "nearest only", "spread": "spread over all", "plan": "planned in common"}

// ZoneRow is one run.
type ZoneRow struct {
	Case, Mode                   string
	Seed                         uint64
	Fault, Behind, Return, All   float64 // share of worth in time
	Crossings, Peak, Moved, Back float64
	Plans, Breaches              int
	P99                          float64
}

// Scenario gives the works of a case.
func (t ZoneExperiment) Scenario(zoneCase ZoneCase, mode string, seed uint64) emulator.Scenario {
	scenario := emulator.LlanelliWorks(seed)
	scenario.Span, scenario.Dispatchers = zoneSpan, t.Dispatchers
	scenario.Kinds = []emulator.Kind{{Name: "box", Count: t.Workers, Slots: zoneSlots, SpeedMin: 0.9, SpeedMax: 1.1}}
	scenario.Network.Zones, scenario.Network.Regions, scenario.Network.CrossPrice, scenario.Network.Cross = 4, 2, 0.03, 10*time.Millisecond
	scenario.Traffic.Work, scenario.Traffic.Subjects, scenario.Traffic.Effect = zoneWork, 0, scheduler.Idempotent
	scenario.Traffic.Rate = zoneCase.Load * float64(t.Workers*zoneSlots) / zoneWork
	scenario.Faults = slices.Clone(zoneCase.Faults)
	scenario.Failover = emulator.Failover{Mode: mode, Headroom: 0.1, ReturnIn: 20 * time.Second, Detect: time.Second, Step: 0.1}
	return scenario
}

// RunZones plays all cases in all modes over seeds, so many at a time. each is called behind every run.
func RunZones(ctx context.Context, experiment ZoneExperiment, together int, each func()) (rows []ZoneRow, err error) {
	type job struct {
		c    ZoneCase
		mode string
		seed uint64
	}
	var jobs []job
	for _, c := range ZoneCases() {
		for _, mode := range ZoneModes {
			for seed := range experiment.Seeds {
				jobs = append(jobs, job{c, mode, uint64(seed + 1)})
			}
		}
	}
	rows = make([]ZoneRow, len(jobs))
	var mu sync.Mutex
	var wait sync.WaitGroup
	next := make(chan int)
	for range together {
		wait.Go(func() {
			for i := range next {
				j := jobs[i]
				r, failed := emulator.Run(experiment.Scenario(j.c, j.mode, j.seed), func(s scheduler.Settings, seed uint64) emulator.Policy { return scheduler.New(s, seed) })
				mu.Lock()
				if failed != nil {
					err = failed
				} else {
					rows[i] = ZoneRow{Case: j.c.Name, Mode: j.mode, Seed: j.seed, Fault: r.Within(zoneFaultAt+3*time.Second, zoneFaultAt+zoneFaultDuration), Behind: r.Within(zoneFaultAt+zoneFaultDuration, zoneFaultAt+zoneFaultDuration+15*time.Second),
						Return: r.Within(zoneFaultAt+zoneFaultDuration+15*time.Second, zoneSpan), All: r.Service, Crossings: r.Crossings, Peak: r.ZonePeak, Moved: r.Moved.Seconds(),
						Back: r.Back.Seconds(), Plans: r.PlanChanges, Breaches: len(r.Breaches), P99: r.P99.Seconds()}
				}
				mu.Unlock()
				each()
			}
		})
	}
	for i := range jobs {
		if ctx.Err() != nil {
			break
		}
		next <- i
	}
	close(next)
	wait.Wait()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return rows, err
}

// SaveZoneRuns keeps the rows, a table and a chart in a folder.
func SaveZoneRuns(dir string, rows []ZoneRow) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := writeFiles(dir, map[string]func(io.Writer) error{"rows.csv": func(w io.Writer) error { return writeZoneCSV(w, rows) }, "table.txt": func(w io.Writer) error { return ZoneTable(w, rows) }}); err != nil {
		return err
	}
	for name, of := range map[string]func(ZoneRow) float64{"served": func(r ZoneRow) float64 { return r.Fault }, "peak": func(r ZoneRow) float64 { return r.Peak }} {
		if err := drawZoneChart(filepath.Join(dir, name+".svg"), name, rows, of); err != nil {
			return err
		}
	}
	return nil
}

func writeZoneCSV(out io.Writer, rows []ZoneRow) error {
	table := csv.NewWriter(out)
	_ = table.Write([]string{"case", "mode", "seed", "served_fault", "served_behind", "served_return", "served", "crossings", "zone_peak_over_capacity", "moved_s", "back_s", "plan_changes", "p99_s", "breaches"})
	for _, row := range rows {
		line := []string{row.Case, zoneModeTitles[row.Mode], strconv.FormatUint(row.Seed, 10)}
		for _, x := range []float64{row.Fault, row.Behind, row.Return, row.All, row.Crossings, row.Peak, row.Moved, row.Back, float64(row.Plans), row.P99, float64(row.Breaches)} {
			line = append(line, strconv.FormatFloat(x, 'f', 4, 64))
		}
		_ = table.Write(line)
	}
	table.Flush()
	return table.Error()
}

// zoneFigures gives a case's rows in a mode.
func zoneFigures(rows []ZoneRow, name, mode string, figure func(ZoneRow) float64) (figures []float64) {
	for _, row := range rows {
		if row.Case == name && row.Mode == mode {
			figures = append(figures, figure(row))
		}
	}
	return figures
}

// ZoneTable sets the modes beside each other, case by case: means over seeds.
func ZoneTable(out io.Writer, rows []ZoneRow) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprint(table, "case\tdecided by\tin the fault\t15 s behind\tthen\tcrossings\tpeak\tpeak, most\tp99 s\tmoved s\tback s\tplans\tbreaches\n")
	for _, zoneCase := range ZoneCases() {
		for _, mode := range ZoneModes {
			mean := func(of func(ZoneRow) float64) float64 {
				return stat.Mean(zoneFigures(rows, zoneCase.Name, mode, of), nil)
			}
			breaches, most := 0.0, 0.0
			for _, x := range zoneFigures(rows, zoneCase.Name, mode, func(r ZoneRow) float64 { return float64(r.Breaches) }) {
				breaches += x
			}
			for _, x := range zoneFigures(rows, zoneCase.Name, mode, func(r ZoneRow) float64 { return r.Peak }) {
				most = max(most, x)
			}
			fmt.Fprintf(table, "%s at %.2f\t%s\t%.3f\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.1f\t%.0f\t%.0f\n", zoneCase.Name, zoneCase.Load, zoneModeTitles[mode], mean(func(r ZoneRow) float64 { return r.Fault }),
				mean(func(r ZoneRow) float64 { return r.Behind }), mean(func(r ZoneRow) float64 { return r.Return }), mean(func(r ZoneRow) float64 { return r.Crossings }),
				mean(func(r ZoneRow) float64 { return r.Peak }), most, mean(func(r ZoneRow) float64 { return r.P99 }), mean(func(r ZoneRow) float64 { return r.Moved }),
				mean(func(r ZoneRow) float64 { return r.Back }), mean(func(r ZoneRow) float64 { return float64(r.Plans) }), breaches)
		}
	}
	return table.Flush()
}

func drawZoneChart(path, title string, rows []ZoneRow, figure func(ZoneRow) float64) error {
	chart := plot.New()
	chart.Title.Text = map[string]string{"served": "share of worth in time from 3 s into the fault", "peak": "most work that came to a zone over 5 s, of what it could do"}[title]
	chart.Legend.Top = true
	var names []string
	for _, zoneCase := range ZoneCases() {
		names = append(names, zoneCase.Name)
	}
	for i, mode := range ZoneModes {
		var values plotter.Values
		for _, c := range ZoneCases() {
			values = append(values, stat.Mean(zoneFigures(rows, c.Name, mode, figure), nil))
		}
		bars, err := plotter.NewBarChart(values, vg.Points(10))
		if err != nil {
			return err
		}
		bars.Color, bars.Offset = plotutil.Color(i), vg.Points(float64(11*i-16))
		chart.Add(bars)
		chart.Legend.Add(zoneModeTitles[mode], bars)
	}
	chart.NominalX(names...)
	return chart.Save(900, 360, path)
}
