package main

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"brassdale/internal/emulator"
	"brassdale/internal/experiment"
	"brassdale/internal/load"
)

// demoScenario is a calm deployment.
//
//go:embed demo.hcl
var demoScenario []byte

// demoCommand makes 'brassdale-lab demo', which runs a whole deployment on loopback and shows live figures.
func demoCommand() *cobra.Command {
	var path, binary, variant string
	var span time.Duration
	command := &cobra.Command{Use: "demo", Short: "Run workers, discovery, dispatchers and a light load on loopback, and show live figures", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			file, err := experiment.Parse(demoScenario, "demo.hcl")
			if path != "" {
				file, err = experiment.Load(path)
			}
			if err != nil {
				return err
			}
			scenario, err := variantScenario(file, variant, uint64(file.First))
			if err != nil {
				return err
			}
			if path == "" {
				scenario.Span = 24 * time.Hour // until Ctrl-C
			}
			ctx := command.Context()
			if span > 0 {
				var stop context.CancelFunc
				ctx, stop = context.WithDeadline(ctx, time.Now().Add(span))
				defer stop()
			}
			return runDemo(ctx, command.OutOrStdout(), scenario, binary)
		}}
	command.Flags().StringVar(&path, "scenario", "", "an experiment's file whose first variant is run (a calm deployment if left out)")
	command.Flags().StringVar(&variant, "variant", "", "another variant of the file")
	command.Flags().StringVar(&binary, "binary", dispatcherPath(), "the dispatcher's program")
	command.Flags().DurationVar(&span, "for", 0, "stop after this time")
	return command
}

// runDemo starts an emulated deployment, its dispatchers and its load, and prints a line a second until the load has ended. It returns an
// error if a rule was broken.
func runDemo(ctx context.Context, out io.Writer, scenario emulator.Scenario, binary string) error {
	cluster, err := emulator.Open(scenario) //nolint:contextcheck // its servers run until Close, beyond the context of the load
	if err != nil {
		return err
	}
	defer cluster.Close()
	dir, err := os.MkdirTemp("", "demo") // short: the dispatchers' sockets are in it
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	var processes []*emulator.DispatcherProcess
	var targets []string
	for number := range scenario.Dispatchers {
		process, err := cluster.Start(ctx, binary, dir, number)
		if err != nil {
			return err
		}
		defer process.Kill()
		processes, targets = append(processes, process), append(targets, process.Address)
		fmt.Fprintf(out, "dispatcher %d: clients at %s, operators at http://%s/_vars\n", number, process.Address, process.Admin)
	}
	client, err := load.NewClient(load.HTTP1, scenario.Terms().Class, targets)
	if err != nil {
		return err
	}
	defer client.Close()
	cluster.StartFaults()
	var recent recentJobs
	options := load.Options{Terms: scenario.Terms(), Seed: scenario.Seed, Each: recent.add}
	ended := make(chan *load.Result, 1)
	go func() { ended <- load.Run(ctx, scenario.Jobs(), client, options) }()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case result := <-ended:
			fmt.Fprintln(out)
			return endDemo(out, cluster, processes, result)
		case <-tick.C:
			showLine(out, recent.line(cluster.Status()))
		}
	}
}

// showLine prints a line. On a terminal it overwrites the previous line.
func showLine(out io.Writer, line string) {
	if isTerminal(os.Stdout) {
		fmt.Fprintf(out, "\r\x1b[K%s", line)
		return
	}
	fmt.Fprintln(out, line)
}

// stopTimeout is how long a dispatcher of the demo may take to end after SIGTERM.
const stopTimeout = 6 * time.Second

// endDemo prints the figures of the load and stops the dispatchers. It returns an error if one does not stop, or a rule was broken.
func endDemo(out io.Writer, cluster *emulator.Cluster, processes []*emulator.DispatcherProcess, result *load.Result) error {
	if err := result.Figures().Table(out); err != nil {
		return err
	}
	for number, process := range processes {
		if err := process.Stop(time.Now().Add(stopTimeout)); err != nil {
			return fmt.Errorf("dispatcher %d: %w\n%s", number, err, process.Log())
		}
	}
	return errors.Join(result.Usable(), reportStatus(out, cluster.Status()))
}

// recentJobs collects the jobs that ended since the last line.
type recentJobs struct {
	mu        sync.Mutex
	latencies []time.Duration
	outcomes  map[load.Outcome]int
}

// add adds a job that has ended.
func (s *recentJobs) add(_ load.Job, outcome load.Outcome, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outcomes == nil {
		s.outcomes = map[load.Outcome]int{}
	}
	s.outcomes[outcome]++
	if outcome == load.Served || outcome == load.Late {
		s.latencies = append(s.latencies, latency)
	}
}

// line returns one line with the figures of the jobs since the last call and the current state of the deployment.
func (s *recentJobs) line(now emulator.Status) string {
	s.mu.Lock()
	latencies, outcomes := s.latencies, s.outcomes
	s.latencies, s.outcomes = nil, nil
	s.mu.Unlock()
	slices.Sort(latencies)
	quantile := func(p float64) time.Duration {
		if len(latencies) == 0 {
			return 0
		}
		return latencies[min(int(p*float64(len(latencies))), len(latencies)-1)].Round(time.Millisecond)
	}
	return fmt.Sprintf("%4.0fs  served %d/s  refused %d  failed %d  unanswered %d   p50 %v  p99 %v   boxes %d of %d (cold %d, in trouble %d), slots %d of %d, waiting %d   broken rules %d",
		now.Since.Seconds(), outcomes[load.Served]+outcomes[load.Late], outcomes[load.Refused], outcomes[load.Failed], outcomes[load.Unanswered], quantile(0.5), quantile(0.99),
		now.Up, now.Workers, now.WarmingUp, now.Faulty, now.Busy, now.Slots, now.Waiting, len(now.Breaches))
}
