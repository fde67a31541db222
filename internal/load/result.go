package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what came of a run.
type Result struct {
	Span     time.Duration
	CutShort bool // it was stopped before its plan was through

	clients    int // that waited for their answers; 0 for an open loop
	mu         sync.Mutex
	planned    int // jobs that came due
	unsent     int // of them, not sent for want of room in the generator
	openAtStop int // of them, open when the run was stopped
	attempts   int
	counts     [outcomes]int
	accounts   map[string]*[outcomes]int
	latency    *hdrhistogram.Histogram // of what was answered, from when it was due, in microseconds
	service    *hdrhistogram.Histogram // the same from when its last try left
	lag        *hdrhistogram.Histogram // how late jobs left
}

func newResult(clients int) *Result {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, time.Hour.Microseconds(), 3) }
	return &Result{clients: clients, accounts: map[string]*[outcomes]int{}, latency: newHistogram(), service: newHistogram(), lag: newHistogram()}
}

func recordDuration(histogram *hdrhistogram.Histogram, d time.Duration) {
	_ = histogram.RecordValue(min(max(d.Microseconds(), 1), time.Hour.Microseconds())) // always in range
}

func (r *Result) recordDue(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planned++
	recordDuration(r.lag, lag)
}

func (r *Result) recordUnsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsent++
}

func (r *Result) recordStopped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openAtStop++
}

func (r *Result) recordEnd(job Job, ended jobEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts += ended.attempts
	r.counts[ended.outcome]++
	counts := r.accounts[job.Account]
	if counts == nil {
		counts = &[outcomes]int{}
		r.accounts[job.Account] = counts
	}
	counts[ended.outcome]++
	if ended.answered {
		recordDuration(r.latency, ended.latency)
		recordDuration(r.service, ended.service)
	}
}

// Usable tells whether the generator kept its plan; if not, why.
func (r *Result) Usable() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unsent > 0 {
		return fmt.Errorf("%w: %d of %d jobs were not sent, too many were open", ErrUnusable, r.unsent, r.planned)
	}
	if r.clients > 0 {
		return nil // who waits is late by design: how late stands in the figures
	}
	if lag := time.Duration(r.lag.ValueAtQuantile(lagQuantile*100)) * time.Microsecond; r.planned > 0 && lag > MaxLag {
		return fmt.Errorf("%w: one of 100 jobs left %v late or later, %v is allowed", ErrUnusable, lag, MaxLag)
	}
	return nil
}

// Figures are a result as it is kept.
type Figures struct {
	Usable   bool                      `json:"usable"`
	Why      string                    `json:"why,omitempty"` // it is not
	CutShort bool                      `json:"cut_short"`
	Clients  int                       `json:"clients,omitempty"` // that waited for their answers: a closed loop
	Seconds  float64                   `json:"seconds"`
	Planned  int                       `json:"planned"`
	Open     int                       `json:"open_at_stop"`
	Tries    int                       `json:"tries"`
	Rate     float64                   `json:"rate"` // jobs a second that ended
	Outcomes map[string]int            `json:"outcomes"`
	Accounts map[string]map[string]int `json:"accounts"`
	Latency  Quantiles                 `json:"latency_ms"` // from when a job was due
	Service  Quantiles                 `json:"service_ms"` // from when its last try left: a stalled target hides in it
	Lag      Quantiles                 `json:"lag_ms"`     // how late jobs left
}

// Quantiles of a histogram, in milliseconds.
type Quantiles struct {
	Mean, P50, P90, P99, P999, Max float64
}

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	milliseconds := func(v int64) float64 { return float64(v) / 1000 }
	return Quantiles{histogram.Mean() / 1000, milliseconds(histogram.ValueAtQuantile(50)), milliseconds(histogram.ValueAtQuantile(90)), milliseconds(histogram.ValueAtQuantile(99)), milliseconds(histogram.ValueAtQuantile(99.9)), milliseconds(histogram.Max())}
}

// Figures gives them.
func (r *Result) Figures() Figures {
	why := r.Usable()
	r.mu.Lock()
	defer r.mu.Unlock()
	figures := Figures{Usable: why == nil, CutShort: r.CutShort, Clients: r.clients, Seconds: r.Span.Seconds(), Planned: r.planned, Open: r.openAtStop, Tries: r.attempts,
		Outcomes: countsByName(r.counts), Accounts: map[string]map[string]int{}, Latency: quantiles(r.latency), Service: quantiles(r.service), Lag: quantiles(r.lag)}
	if why != nil {
		figures.Why = why.Error()
	}
	for name, counts := range r.accounts {
		figures.Accounts[name] = countsByName(*counts)
	}
	if figures.Seconds > 0 {
		figures.Rate = float64(figures.Planned-r.unsent-r.openAtStop) / figures.Seconds
	}
	return figures
}

func countsByName(counts [outcomes]int) map[string]int {
	byName := map[string]int{}
	for o, n := range counts {
		byName[Outcome(o).String()] = n
	}
	return byName
}

// JSON writes the figures.
func (f Figures) JSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(f)
}

// Table writes them for people.
func (f Figures) Table(out io.Writer) error {
	if !f.Usable {
		fmt.Fprintf(out, "UNUSABLE: %s\n", f.Why)
	}
	if f.CutShort {
		fmt.Fprintf(out, "stopped after %.1f s; %d jobs were open then and are not counted\n", f.Seconds, f.Open)
	}
	if f.Clients > 0 {
		fmt.Fprintf(out, "closed loop: %d clients, each of which waited for its answer\n", f.Clients)
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "account\t")
	for _, o := range outcomeNames {
		fmt.Fprintf(table, "%s\t", o)
	}
	fmt.Fprintln(table)
	writeCounts := func(name string, c map[string]int) {
		fmt.Fprintf(table, "%s\t", name)
		for _, o := range outcomeNames {
			fmt.Fprintf(table, "%d\t", c[o])
		}
		fmt.Fprintln(table)
	}
	for _, name := range slices.Sorted(maps.Keys(f.Accounts)) {
		writeCounts(name, f.Accounts[name])
	}
	writeCounts("all", f.Outcomes)
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d jobs in %.1f s, %d tries\n\n", f.Planned, f.Seconds, f.Tries)
	table = tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "ms\tmean\tp50\tp90\tp99\tp99.9\tmax\t")
	for _, row := range []struct {
		name string
		Quantiles
	}{{"from when due", f.Latency}, {"from when sent", f.Service}, {"left late by", f.Lag}} {
		fmt.Fprintf(table, "%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", row.name, row.Mean, row.P50, row.P90, row.P99, row.P999, row.Max)
	}
	return table.Flush()
}
