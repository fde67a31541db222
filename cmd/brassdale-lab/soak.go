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

// soakCommand makes 'brassdale-lab soak', which runs real dispatchers with faults drawn from seeds and checks every rule.
func soakCommand() *cobra.Command {
	var out, binary, seeds string
	var parallel int
	command := &cobra.Command{Use: "soak FILE...", Short: "Run real dispatchers with faults drawn from seeds, and check every rule on the records of their peers", Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
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
				file, err := soak.Load(path)
				if err != nil {
					return err
				}
				for seed := from; seed <= to; seed++ {
					plans = append(plans, file.Draw(seed))
				}
			}
			session := soakSession{command: command, programs: soak.Programs{Dispatcher: binary, Injector: self}, directory: resultDirectory(out), scenarios: strings.Join(args, " ")}
			return session.run(plans, parallel)
		}}
	command.Flags().StringVar(&out, "out", "", "the folder for the results (results/ and the time if left out)")
	command.Flags().StringVar(&binary, "binary", dispatcherPath(), "the dispatcher's program")
	command.Flags().StringVar(&seeds, "seeds", "1", "one seed, or the first and the last as A-B")
	command.Flags().IntVar(&parallel, "together", 2, "number of runs side by side")
	return command
}

// parseSeeds reads one seed A, or a range A-B.
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

// soakSession is one execution of the command.
type soakSession struct {
	command   *cobra.Command
	programs  soak.Programs
	directory string
	scenarios string // for the printed command that repeats a seed

	mu     sync.Mutex
	rows   []soakRow
	errors []error
}

// soakRow is a run in soak.json.
type soakRow struct {
	Scenario string         `json:"scenario"`
	Seed     uint64         `json:"seed"`
	Effect   string         `json:"effect"`
	Failures string         `json:"failures,omitempty"`
	Events   []string       `json:"events"`
	Requests int            `json:"requests"`
	Attempts int            `json:"attempts"`
	Breaches map[string]int `json:"breaches,omitempty"`
	Error    string         `json:"error,omitempty"` // why the run did not complete; it is then not counted

	kinds []soak.EventKind // the kinds of the events in Events
}

// run runs all plans and writes the report. The parameter parallel is the maximum number of runs at a time.
func (s *soakSession) run(plans []soak.Plan, parallel int) error {
	if err := os.MkdirAll(s.directory, 0o755); err != nil {
		return err
	}
	next := make(chan soak.Plan)
	var wait sync.WaitGroup
	for range max(parallel, 1) {
		wait.Go(func() {
			for plan := range next {
				s.runPlan(plan)
			}
		})
	}
	for _, plan := range plans {
		if s.command.Context().Err() == nil {
			next <- plan
		}
	}
	close(next)
	wait.Wait()
	return s.writeReport()
}

// runPlan runs a plan, and prints its row and the timelines of its breaches.
func (s *soakSession) runPlan(plan soak.Plan) {
	dir, err := os.MkdirTemp("", "soak-")
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.errors = append(s.errors, err)
		return
	}
	defer func() { _ = os.RemoveAll(dir) }()
	result, err := soak.Run(s.command.Context(), plan, s.programs, dir)
	row := soakRow{Scenario: plan.Scenario, Seed: plan.Seed, Effect: plan.Idempotency, Failures: plan.SystemCallFaults}
	for _, event := range plan.Events {
		row.Events = append(row.Events, fmt.Sprintf("%.1fs %s", event.At.Seconds(), event.Kind))
		row.kinds = append(row.kinds, event.Kind)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	output := s.command.OutOrStdout()
	if err != nil {
		row.Error = err.Error()
		fmt.Fprintf(output, "%s seed %d: not played: %v\n", plan.Scenario, plan.Seed, err)
		s.rows = append(s.rows, row)
		return
	}
	row.Requests, row.Attempts, row.Breaches = len(result.Record.Requests), len(result.Record.Attempts), result.ByRule()
	s.rows = append(s.rows, row)
	fmt.Fprintf(output, "%s seed %d: %s, pushed %t, %d dispatchers, %d workers, deadline %v, late weight %g, %d events, %d requests, %d attempts, broken: %v\n",
		plan.Scenario, plan.Seed, plan.Idempotency, plan.ListsPushed, plan.Dispatchers, plan.Workers, plan.Deadline, plan.LateWeight, len(plan.Events),
		row.Requests, row.Attempts, row.Breaches)
	fmt.Fprintf(output, " %s\n", strings.Join(row.Events, ", "))
	if len(result.Breaches) == 0 {
		return
	}
	s.keepEvidence(result, dir)
}

const (
	maxTimelines = 3 // maximum that is printed for one run
	logFiles     = "n*.log"
)

// keepEvidence prints the timelines of a run's first breaches and copies its logs to the results.
func (s *soakSession) keepEvidence(result *soak.Result, dir string) {
	output := s.command.OutOrStdout()
	for i, breach := range result.Breaches {
		if i == maxTimelines {
			break
		}
		fmt.Fprintf(output, " %s %s worker %d: %s\n%s", breach.Rule, breach.Request, breach.Worker, breach.Detail, result.Timeline(breach))
	}
	for _, event := range result.Record.Events {
		fmt.Fprintf(output, "  event %s\n", event)
	}
	fmt.Fprintf(output, " to repeat: brassdale-lab soak %s --seeds %d\n", s.scenarios, result.Plan.Seed)
	files, _ := filepath.Glob(filepath.Join(dir, logFiles))
	for _, path := range files {
		text, err := os.ReadFile(path)
		if err == nil {
			err = os.WriteFile(filepath.Join(s.directory, fmt.Sprintf("seed-%d-%s", result.Plan.Seed, filepath.Base(path))), text, 0o644)
		}
		if err != nil {
			s.errors = append(s.errors, err)
		}
	}
}

// writeReport writes soak.json and prints the totals. It returns an error if a rule was broken or a run did not complete.
func (s *soakSession) writeReport() error {
	text, err := json.MarshalIndent(s.rows, "", " ")
	if err == nil {
		err = os.WriteFile(filepath.Join(s.directory, "soak.json"), append(text, '\n'), 0o644)
	}
	if err != nil {
		return err
	}
	byRule, byKind, requests, incomplete := map[string]int{}, map[soak.EventKind]int{}, 0, 0
	breaches := 0
	for _, row := range s.rows {
		requests += row.Requests
		if row.Error != "" {
			incomplete++
			continue
		}
		for _, kind := range row.kinds {
			byKind[kind]++
		}
		for rule, n := range row.Breaches {
			byRule[rule] += n
			breaches += n
		}
	}
	fmt.Fprintf(s.command.OutOrStdout(), "events: %v\n", byKind)
	fmt.Fprintf(s.command.OutOrStdout(), "%d runs, %d not played, %d requests, broken: %v\n", len(s.rows), incomplete, requests, byRule)
	if len(s.errors) > 0 {
		return s.errors[0]
	}
	if breaches > 0 || incomplete > 0 {
		return fmt.Errorf("%d breaches, %d runs not played", breaches, incomplete)
	}
	return nil
}
