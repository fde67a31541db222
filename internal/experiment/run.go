package experiment

import (
	"cmp"
	"context"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"brassdale/internal/emulator"
)

// Row is one run: a variant with a seed.
type Row struct {
	Variant  string   `json:"variant"`
	Seed     uint64   `json:"seed"`
	Build    string   `json:"build"`
	Jobs     int      `json:"jobs"`
	Service  float64  `json:"service"`
	Worst    float64  `json:"worst_account"`
	Late     float64  `json:"late"`    // share of the jobs
	Refused  float64  `json:"refused"` // the same
	Failed   float64  `json:"failed"`  // the same
	P50MS    float64  `json:"p50_ms"`
	P99MS    float64  `json:"p99_ms"`
	Sends    float64  `json:"sends"`  // a job
	Probes   float64  `json:"probes"` // a job
	Wasted   float64  `json:"wasted"` // share of the work
	Speed    float64  `json:"speed"`  // mean of a served job's work by the time to its answer
	Used     float64  `json:"used"`   // work done, of what the boxes could do
	Class    float64  `json:"worst_class,omitempty"`
	Cross    float64  `json:"crossings,omitempty"` // attempts between zones, a job
	Merit    float64  `json:"merit,omitempty"`     // service, worst class and the price of crossing in one
	Breaches []string `json:"breaches,omitempty"`
}

// measures are the columns that are compared.
var measures = []struct {
	name string
	of   func(Row) float64
	more bool // more of it is better
}{
	{"service", func(r Row) float64 { return r.Service }, true},
	{"worst_account", func(r Row) float64 { return r.Worst }, true},
	{"late", func(r Row) float64 { return r.Late }, false},
	{"refused", func(r Row) float64 { return r.Refused }, false},
	{"failed", func(r Row) float64 { return r.Failed }, false},
	{"p50_ms", func(r Row) float64 { return r.P50MS }, false},
	{"p99_ms", func(r Row) float64 { return r.P99MS }, false},
	{"sends", func(r Row) float64 { return r.Sends }, false},
	{"probes", func(r Row) float64 { return r.Probes }, false},
	{"wasted", func(r Row) float64 { return r.Wasted }, false},
	{"speed", func(r Row) float64 { return r.Speed }, true},
	{"used", func(r Row) float64 { return r.Used }, true},
	{"worst_class", func(r Row) float64 { return r.Class }, true},
	{"crossings", func(r Row) float64 { return r.Cross }, false},
	{"merit", func(r Row) float64 { return r.Merit }, true},
}

// Player plays a variant's scenario.
type Player func(ctx context.Context, v Variant, s emulator.Scenario) (*emulator.Result, error)

// InVirtualTime plays by the model alone.
func InVirtualTime(_ context.Context, v Variant, s emulator.Scenario) (*emulator.Result, error) {
	return emulator.Run(s, v.newPolicy())
}

// OnSockets plays with a dispatcher's program on loopback, which decides by its own module whatever the variant says.
func OnSockets(binary string) Player {
	return func(ctx context.Context, v Variant, s emulator.Scenario) (*emulator.Result, error) {
		if v.Policy != "" && v.Policy != "module" {
			return nil, fmt.Errorf("policy %q is not the program's", v.Policy)
		}
		return emulator.Play(ctx, s, binary)
	}
}

// Run plays all variants with all seeds, the variants of a seed beside each other, so many at a time. step is called
// behind each run. When the context ends, what was played by then is given with its error.
func Run(ctx context.Context, f *File, play Player, together int, build string, step func()) ([]Row, error) {
	type task struct{ seed, variant int }
	tasks := make(chan task)
	go func() {
		defer close(tasks)
		for seed := range f.Seeds {
			for variant := range f.Variants {
				select {
				case tasks <- task{seed, variant}:
				case <-ctx.Done():
					return
				}
			}
		}
	}()
	var mu sync.Mutex
	var wait sync.WaitGroup
	var rows []Row
	var failed error
	for range together {
		wait.Go(func() {
			for t := range tasks {
				v, seed := f.Variants[t.variant], uint64(f.First+t.seed)
				s, err := f.Scenario(v, seed)
				var r *emulator.Result
				if err == nil {
					r, err = play(ctx, v, s)
				}
				mu.Lock()
				if err != nil {
					failed = cmp.Or(failed, fmt.Errorf("variant %q, seed %d: %w", v.Name, seed, err))
				} else {
					row := newRow(v.Name, seed, build, r)
					row.Class, row.Cross, row.Merit = r.WorstClass, r.Crossings, r.Merit(s.Network.CrossPrice)
					rows = append(rows, row)
				}
				step()
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	order := map[string]int{}
	for i, v := range f.Variants {
		order[v.Name] = i
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(order[a.Variant], order[b.Variant]), cmp.Compare(a.Seed, b.Seed))
	})
	return rows, cmp.Or(failed, ctx.Err())
}

func newRow(variant string, seed uint64, build string, result *emulator.Result) Row {
	share := func(n int) float64 { return float64(n) / float64(max(result.Jobs, 1)) }
	row := Row{Variant: variant, Seed: seed, Build: build, Jobs: result.Jobs, Service: result.Service, Worst: result.Worst, Late: share(result.Late), Refused: share(result.Refused),
		Failed: share(result.Failed), P50MS: float64(result.P50.Microseconds()) / 1000, P99MS: float64(result.P99.Microseconds()) / 1000, Sends: result.Sends, Probes: result.Probes, Wasted: result.Wasted, Speed: result.Speed, Used: result.Used}
	for _, breach := range result.Breaches {
		row.Breaches = append(row.Breaches, breach.String())
	}
	return row
}

// Breaches gives the rules that were broken, with the run that broke them: those of the module, and those of plain
// policies, which hold no rules of themselves.
func Breaches(rows []Row, file *File) (module, plain []string) {
	policies := map[string]string{}
	if file != nil {
		for _, variant := range file.Variants {
			policies[variant.Name] = variant.Policy
		}
	}
	for _, row := range rows {
		for _, breach := range row.Breaches {
			if policy := policies[row.Variant]; policy == "" || policy == "module" {
				module = append(module, fmt.Sprintf("variant %q (the module), seed %d: %s", row.Variant, row.Seed, breach))
			} else {
				plain = append(plain, fmt.Sprintf("variant %q (policy %s), seed %d: %s", row.Variant, policy, row.Seed, breach))
			}
		}
	}
	return module, plain
}

// Summary is a variant's figure with the half width of its 95% interval (Student's t).
type Summary struct {
	Mean, Half float64
	N          int
}

// summarize gives the mean of figures and how sure it is.
func summarize(figures []float64) Summary {
	summary := Summary{N: len(figures), Mean: stat.Mean(figures, nil)}
	if len(figures) > 1 {
		t := distuv.StudentsT{Sigma: 1, Nu: float64(len(figures) - 1)}
		summary.Half = t.Quantile(0.975) * stat.StdDev(figures, nil) / math.Sqrt(float64(len(figures)))
	}
	return summary
}

// rowsByVariant gives the rows by variant, in their order.
func rowsByVariant(rows []Row) (names []string, byVariant map[string][]Row) {
	byVariant = map[string][]Row{}
	for _, row := range rows {
		if byVariant[row.Variant] == nil {
			names = append(names, row.Variant)
		}
		byVariant[row.Variant] = append(byVariant[row.Variant], row)
	}
	return names, byVariant
}

// Table writes the means, and what differs from the first variant by more than chance: seeds are paired, since both
// played the same traffic and faults.
func Table(out io.Writer, rows []Row) error {
	names, byVariant := rowsByVariant(rows)
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "variant\truns\t")
	for _, measure := range measures {
		fmt.Fprintf(table, "%s\t", measure.name)
	}
	fmt.Fprintln(table)
	for _, name := range names {
		fmt.Fprintf(table, "%s\t%d\t", name, len(byVariant[name]))
		for _, m := range measures {
			var figures []float64
			for _, row := range byVariant[name] {
				figures = append(figures, m.of(row))
			}
			s := summarize(figures)
			fmt.Fprintf(table, "%.3f ±%.3f\t", s.Mean, s.Half)
		}
		fmt.Fprintln(table)
	}
	if err := table.Flush(); err != nil || len(names) < 2 {
		return err
	}
	fmt.Fprintf(out, "\nagainst %s, seed by seed (95%%); * is more than chance\n", names[0])
	table = tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	for _, name := range names[1:] {
		fmt.Fprintf(table, "%s\t", name)
		for _, m := range measures {
			s, sure := Difference(byVariant[names[0]], byVariant[name], m.of)
			mark := " "
			if sure {
				mark = "*"
			}
			fmt.Fprintf(table, "%s %+.3f ±%.3f%s\t", m.name, s.Mean, s.Half, mark)
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}

// Difference gives by how much a figure of one variant is above another's, over the seeds that both played, and whether
// that is more than chance.
func Difference(first, second []Row, figure func(Row) float64) (Summary, bool) {
	firstFigures := map[uint64]float64{}
	for _, r := range first {
		firstFigures[r.Seed] = figure(r)
	}
	var differences []float64
	for _, r := range second {
		if before, ok := firstFigures[r.Seed]; ok {
			differences = append(differences, figure(r)-before)
		}
	}
	if len(differences) == 0 {
		return Summary{}, false
	}
	summary := summarize(differences)
	return summary, summary.N > 1 && math.Abs(summary.Mean) > summary.Half
}

// Save keeps rows in a folder: as CSV, as JSON, as a table and as charts.
func Save(dir, title string, rows []Row) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(struct {
		Title string `json:"title"`
		Rows  []Row  `json:"rows"`
	}{title, rows}, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "rows.json"), text, 0o644); err != nil {
		return err
	}
	return Draw(dir, title, rows)
}

// Read gives the rows that were kept in a folder.
func Read(dir string) (title string, rows []Row, err error) {
	text, err := os.ReadFile(filepath.Join(dir, "rows.json"))
	if err != nil {
		return "", nil, err
	}
	var stored struct {
		Title string
		Rows  []Row
	}
	err = json.Unmarshal(text, &stored)
	return stored.Title, stored.Rows, err
}

// writeCSV writes a line for each run.
func writeCSV(out io.Writer, rows []Row) error {
	table := csv.NewWriter(out)
	head := []string{"variant", "seed", "build", "jobs"}
	for _, measure := range measures {
		head = append(head, measure.name)
	}
	_ = table.Write(append(head, "breaches"))
	for _, row := range rows {
		line := []string{row.Variant, strconv.FormatUint(row.Seed, 10), row.Build, strconv.Itoa(row.Jobs)}
		for _, m := range measures {
			line = append(line, strconv.FormatFloat(m.of(row), 'g', -1, 64))
		}
		_ = table.Write(append(line, strconv.Itoa(len(row.Breaches))))
	}
	table.Flush()
	return table.Error()
}
