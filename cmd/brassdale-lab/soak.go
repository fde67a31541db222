package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"

	"github.com/spf13/cobra"

	"brassdale/internal/soak"
)

// soakCommand plays scenarios of real dispatchers with faults drawn from seeds, and holds the rules over them.
func soakCommand() *cobra.Command {
	var out, binary, seeds string
	var together int
	c := &cobra.Command{Use: "soak FILE...", Short: "Play real dispatchers with faults drawn from seeds, and hold every rule over what their peers saw", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			from, to, err := parseSeeds(seeds)
			if err != nil {
				return err
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			var plans []soak.Plan
			for _, path := range args {
				f, err := soak.Load(path)
				if err != nil {
					return err
				}
				for seed := from; seed <= to; seed++ {
					plans = append(plans, f.Draw(seed))
				}
			}
			s := soakRun{command: c, programs: soak.Programs{Dispatcher: binary, Injector: self}, out: folder(out), file: strings.Join(args, " ")}
			return s.play(plans, together)
		}}
	c.Flags().StringVar(&out, "out", "", "the folder for the results (results/ and the time if left out)")
	c.Flags().StringVar(&binary, "binary", dispatcherBeside(), "the dispatcher's program")
	c.Flags().StringVar(&seeds, "seeds", "1", "one seed, or the first and the last as A-B")
	c.Flags().IntVar(&together, "together", 2, "so many runs beside each other")
	return c
}

// parseSeeds reads A or A-B.
func parseSeeds(text string) (from, to uint64, err error) {
	first, last, ranged := strings.Cut(text, "-")
	if from, err = strconv.ParseUint(first, 10, 64); err != nil {
		return 0, 0, fmt.Errorf("seeds %q: want A or A-B", text)
	}
	if !ranged {
		return from, from, nil
	}
	if to, err = strconv.ParseUint(last, 10, 64); err != nil || to < from {
		return 0, 0, fmt.Errorf("seeds %q: want A or A-B", text)
	}
	return from, to, nil
}

// soakRun is one call of the command.
type soakRun struct {
	command  *cobra.Command
	programs soak.Programs
	out      string
	file     string // the scenarios, for the command that plays a seed again

	mu   sync.Mutex
	rows []soakRow
	errs []error
}

// soakRow is a run's row of the table.
type soakRow struct {
	Scenario string         `json:"scenario"`
	Seed     uint64         `json:"seed"`
	Effect   string         `json:"effect"`
	Failures string         `json:"failures,omitempty"`
	Events   []string       `json:"events"`
	Requests int            `json:"requests"`
	Attempts int            `json:"attempts"`
	Breaches map[string]int `json:"breaches,omitempty"`
	Error    string         `json:"error,omitempty"` // the run did not come to its end: it does not count
}

// play plays all plans, some beside each other.
func (s *soakRun) play(plans []soak.Plan, together int) error {
	if err := os.MkdirAll(s.out, 0o755); err != nil {
		return err
	}
	next := make(chan soak.Plan)
	var wait sync.WaitGroup
	for range max(together, 1) {
		wait.Go(func() {
			for p := range next {
				s.one(p)
			}
		})
	}
	for _, p := range plans {
		next <- p
	}
	close(next)
	wait.Wait()
	return s.report()
}

// one plays a plan, prints its row and the timelines of its breaches.
func (s *soakRun) one(p soak.Plan) {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		s.errs = append(s.errs, err)
		return
	}
	defer os.RemoveAll(dir)
	r, err := soak.Play(s.command.Context(), p, s.programs, dir)
	row := soakRow{Scenario: p.Scenario, Seed: p.Seed, Effect: p.Idempotency, Failures: p.SystemCallFaults}
	for _, e := range p.Events {
		row.Events = append(row.Events, fmt.Sprintf("%.1fs %s", e.At.Seconds(), e.Kind))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.command.OutOrStdout()
	if err != nil {
		row.Error = err.Error()
		fmt.Fprintf(w, "%s seed %d: not played: %v\n", p.Scenario, p.Seed, err)
		s.rows = append(s.rows, row)
		return
	}
	row.Requests, row.Attempts, row.Breaches = len(r.Record.Requests), len(r.Record.Attempts), r.ByRule()
	s.rows = append(s.rows, row)
	fmt.Fprintf(w, "%s seed %d: %s, pushed %t, %d dispatchers, %d workers, deadline %v, %d events, %d requests, %d attempts, broken: %v\n",
		p.Scenario, p.Seed, p.Idempotency, p.ListsPushed, p.Dispatchers, p.Workers, p.Deadline, len(p.Events), row.Requests, row.Attempts, row.Breaches)
	if len(r.Breaches) == 0 {
		return
	}
	s.keep(r, dir)
}

const (
	timelinesPerRun = 3
	logFiles        = "n*.log"
)

// keep prints the timelines of a run's first breaches and keeps its logs.
func (s *soakRun) keep(r *soak.Result, dir string) {
	w := s.command.OutOrStdout()
	for i, b := range r.Breaches {
		if i == timelinesPerRun {
			break
		}
		fmt.Fprintf(w, " %s %s worker %d: %s\n%s", b.Rule, b.Request, b.Worker, b.Detail, r.Timeline(b))
	}
	for _, e := range r.Record.Events {
		fmt.Fprintf(w, "  event %s\n", e)
	}
	fmt.Fprintf(w, " again: brassdale-lab soak %s --seeds %d\n", s.file, r.Plan.Seed)
	files, _ := filepath.Glob(filepath.Join(dir, logFiles))
	for _, path := range files {
		text, err := os.ReadFile(path)
		if err == nil {
			err = os.WriteFile(filepath.Join(s.out, fmt.Sprintf("seed-%d-%s", r.Plan.Seed, filepath.Base(path))), text, 0o644)
		}
		if err != nil {
			s.errs = append(s.errs, err)
		}
	}
}

// report writes the rows and tells what was broken.
func (s *soakRun) report() error {
	text, err := json.MarshalIndent(s.rows, "", " ")
	if err == nil {
		err = os.WriteFile(filepath.Join(s.out, "soak.json"), append(text, '\n'), 0o644)
	}
	if err != nil {
		return err
	}
	total, requests, unplayed := map[string]int{}, 0, 0
	broken := 0
	for _, r := range s.rows {
		requests += r.Requests
		if r.Error != "" {
			unplayed++
		}
		for rule, n := range r.Breaches {
			total[rule] += n
			broken += n
		}
	}
	fmt.Fprintf(s.command.OutOrStdout(), "%d runs, %d not played, %d requests, broken: %v\n", len(s.rows), unplayed, requests, total)
	if len(s.errs) > 0 {
		return s.errs[0]
	}
	if broken > 0 || unplayed > 0 {
		return fmt.Errorf("%d breaches, %d runs not played", broken, unplayed)
	}
	return nil
}
