package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Figures are a result in its stored form.
type Figures struct {
	Usable     bool                      `json:"usable"`
	Why        string                    `json:"why,omitempty"` // why the result is not usable
	CutShort   bool                      `json:"cut_short"`
	Clients    int                       `json:"clients,omitempty"` // of a closed loop
	Seconds    float64                   `json:"seconds"`
	Planned    int                       `json:"planned"`
	OpenAtStop int                       `json:"open_at_stop"`
	Attempts   int                       `json:"tries"`
	Rate       float64                   `json:"rate"` // ended jobs per second
	Outcomes   map[string]int            `json:"outcomes"`
	Accounts   map[string]map[string]int `json:"accounts"`
	Latency    Quantiles                 `json:"latency_ms"` // from when a job was due
	Service    Quantiles                 `json:"service_ms"` // from when its last attempt was sent: in a closed loop this hides a stall of the target
	Lag        Quantiles                 `json:"lag_ms"`     // how late jobs were sent
}

// Quantiles are the mean, some quantiles and the maximum of a histogram, in milliseconds.
type Quantiles struct {
	Mean, P50, P90, P99, P999, Max float64
}

// quantiles returns the quantiles of a histogram of microseconds.
func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	milliseconds := func(v int64) float64 { return float64(v) / 1000 }
	return Quantiles{histogram.Mean() / 1000, milliseconds(histogram.ValueAtQuantile(50)), milliseconds(histogram.ValueAtQuantile(90)), milliseconds(histogram.ValueAtQuantile(99)), milliseconds(histogram.ValueAtQuantile(99.9)), milliseconds(histogram.Max())}
}

// Figures returns the figures until now.
func (r *Result) Figures() Figures {
	why := r.Usable()
	r.mu.Lock()
	defer r.mu.Unlock()
	figures := Figures{
		Usable:     why == nil,
		CutShort:   r.CutShort,
		Clients:    r.clients,
		Seconds:    r.Span.Seconds(),
		Planned:    r.planned,
		OpenAtStop: r.openAtStop,
		Attempts:   r.attempts,
		Outcomes:   countsByName(r.counts),
		Accounts:   map[string]map[string]int{},
		Latency:    quantiles(r.latency),
		Service:    quantiles(r.service),
		Lag:        quantiles(r.lag),
	}
	if why != nil {
		figures.Why = why.Error()
	}
	for account, counts := range r.accounts {
		figures.Accounts[account] = countsByName(*counts)
	}
	if figures.Seconds > 0 {
		figures.Rate = float64(figures.Planned-r.unsent-r.openAtStop) / figures.Seconds
	}
	return figures
}

// countsByName returns counts by the names of the outcomes.
func countsByName(counts [outcomeCount]int) map[string]int {
	byName := map[string]int{}
	for o, n := range counts {
		byName[Outcome(o).String()] = n
	}
	return byName
}

// JSON writes the figures as JSON.
func (f Figures) JSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", " ")
	return encoder.Encode(f)
}

// Table writes the figures as tables.
func (f Figures) Table(out io.Writer) error {
	if !f.Usable {
		fmt.Fprintf(out, "UNUSABLE: %s\n", f.Why)
	}
	if f.CutShort {
		fmt.Fprintf(out, "stopped after %.1f s; %d jobs were open then and are not counted\n", f.Seconds, f.OpenAtStop)
	}
	if f.Clients > 0 {
		fmt.Fprintf(out, "closed loop: %d clients, each of which waited for its answer\n", f.Clients)
	}
	if err := f.writeOutcomes(out); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d jobs in %.1f s, %d tries\n\n", f.Planned, f.Seconds, f.Attempts)
	return f.writeQuantiles(out)
}

// writeOutcomes writes a line of counts for each account and one for all.
func (f Figures) writeOutcomes(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "account\t")
	for _, outcome := range outcomeNames {
		fmt.Fprintf(table, "%s\t", outcome)
	}
	fmt.Fprintln(table)
	writeCounts := func(name string, counts map[string]int) {
		fmt.Fprintf(table, "%s\t", name)
		for _, outcome := range outcomeNames {
			fmt.Fprintf(table, "%d\t", counts[outcome])
		}
		fmt.Fprintln(table)
	}
	for _, account := range slices.Sorted(maps.Keys(f.Accounts)) {
		writeCounts(account, f.Accounts[account])
	}
	writeCounts("all", f.Outcomes)
	return table.Flush()
}

// writeQuantiles writes a line for each histogram.
func (f Figures) writeQuantiles(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "ms\tmean\tp50\tp90\tp99\tp99.9\tmax\t")
	for _, row := range []struct {
		name string
		Quantiles
	}{{"from when due", f.Latency}, {"from when sent", f.Service}, {"left late by", f.Lag}} {
		fmt.Fprintf(table, "%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", row.name, row.Mean, row.P50, row.P90, row.P99, row.P999, row.Max)
	}
	return table.Flush()
}
