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

	clients  int // that waited for their answers; 0 for an open loop
	mu       sync.Mutex
	planned  int // jobs that came due
	unsent   int // of them, not sent for want of room in the generator
	stopped  int // of them, open when the run was stopped
	tries    int
	counts   [outcomes]int
	accounts map[string]*[outcomes]int
	latency  *hdrhistogram.Histogram // of what was answered, from when it was due, in microseconds
	service  *hdrhistogram.Histogram // the same from when its last try left
	lag      *hdrhistogram.Histogram // how late jobs left
}

func newResult(clients int) *Result {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, time.Hour.Microseconds(), 3) }
	return &Result{clients: clients, accounts: map[string]*[outcomes]int{}, latency: h(), service: h(), lag: h()}
}

func enter(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), time.Hour.Microseconds())) // always in range
}

func (r *Result) due(lag time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.planned++
	enter(r.lag, lag)
}

func (r *Result) shed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unsent++
}

func (r *Result) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped++
}

func (r *Result) ended(j Job, e end) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tries += e.tries
	r.counts[e.outcome]++
	a := r.accounts[j.Account]
	if a == nil {
		a = &[outcomes]int{}
		r.accounts[j.Account] = a
	}
	a[e.outcome]++
	if e.answered {
		enter(r.latency, e.latency)
		enter(r.service, e.service)
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
	if at := time.Duration(r.lag.ValueAtQuantile(lagShare*100)) * time.Microsecond; r.planned > 0 && at > MaxLag {
		return fmt.Errorf("%w: one of 100 jobs left %v late or later, %v is allowed", ErrUnusable, at, MaxLag)
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

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(v int64) float64 { return float64(v) / 1000 }
	return Quantiles{h.Mean() / 1000, ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(90)), ms(h.ValueAtQuantile(99)), ms(h.ValueAtQuantile(99.9)), ms(h.Max())}
}

// Figures gives them.
func (r *Result) Figures() Figures {
	why := r.Usable()
	r.mu.Lock()
	defer r.mu.Unlock()
	f := Figures{Usable: why == nil, CutShort: r.CutShort, Clients: r.clients, Seconds: r.Span.Seconds(), Planned: r.planned, Open: r.stopped, Tries: r.tries,
		Outcomes: counted(r.counts), Accounts: map[string]map[string]int{}, Latency: quantiles(r.latency), Service: quantiles(r.service), Lag: quantiles(r.lag)}
	if why != nil {
		f.Why = why.Error()
	}
	for name, c := range r.accounts {
		f.Accounts[name] = counted(*c)
	}
	if f.Seconds > 0 {
		f.Rate = float64(f.Planned-r.unsent-r.stopped) / f.Seconds
	}
	return f
}

func counted(c [outcomes]int) map[string]int {
	m := map[string]int{}
	for o, n := range c {
		m[Outcome(o).String()] = n
	}
	return m
}

// JSON writes the figures.
func (f Figures) JSON(out io.Writer) error {
	e := json.NewEncoder(out)
	e.SetIndent("", " ")
	return e.Encode(f)
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
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "account\t")
	for _, o := range outcomeNames {
		fmt.Fprintf(w, "%s\t", o)
	}
	fmt.Fprintln(w)
	line := func(name string, c map[string]int) {
		fmt.Fprintf(w, "%s\t", name)
		for _, o := range outcomeNames {
			fmt.Fprintf(w, "%d\t", c[o])
		}
		fmt.Fprintln(w)
	}
	for _, name := range slices.Sorted(maps.Keys(f.Accounts)) {
		line(name, f.Accounts[name])
	}
	line("all", f.Outcomes)
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d jobs in %.1f s, %d tries\n\n", f.Planned, f.Seconds, f.Tries)
	w = tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "ms\tmean\tp50\tp90\tp99\tp99.9\tmax\t")
	for _, q := range []struct {
		name string
		Quantiles
	}{{"from when due", f.Latency}, {"from when sent", f.Service}, {"left late by", f.Lag}} {
		fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t\n", q.name, q.Mean, q.P50, q.P90, q.P99, q.P999, q.Max)
	}
	return w.Flush()
}
