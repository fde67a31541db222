package main

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"brassdale/internal/emulator"
	"brassdale/internal/experiment"
	"brassdale/internal/load"
)

//go:embed demo.hcl
var demoScenario []byte

// dispatcherBeside is where the dispatcher's program is if nobody says: beside this one.
func dispatcherBeside() string {
	self, err := os.Executable()
	if err != nil {
		return "brassdale"
	}
	return filepath.Join(filepath.Dir(self), "brassdale")
}

// scenarioOf gives a variant's scenario of a file: the named one, or the first.
func scenarioOf(f *experiment.File, variant string, seed uint64) (emulator.Scenario, error) {
	if variant == "" {
		return f.Scenario(f.Variants[0], seed)
	}
	for _, v := range f.Variants {
		if v.Name == variant {
			return f.Scenario(v, seed)
		}
	}
	return emulator.Scenario{}, fmt.Errorf("there is no variant %q", variant)
}

// emulate puts a works on loopback for dispatchers that somebody else starts.
func emulate() *cobra.Command {
	var dir, variant string
	var seed uint64
	c := &cobra.Command{Use: "emulate FILE", Short: "Put a scenario's boxes and discovery on loopback, to point dispatchers at", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			f, err := experiment.Load(args[0])
			if err != nil {
				return err
			}
			s, err := scenarioOf(f, variant, seed)
			if err != nil {
				return err
			}
			k, err := emulator.Open(s)
			if err != nil {
				return err
			}
			defer k.Close()
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return err
			}
			out := c.OutOrStdout()
			for n := range s.Dispatchers {
				text, err := k.Config(n)
				if err != nil {
					return err
				}
				path := filepath.Join(dir, fmt.Sprintf("n%d.json", n))
				if err := os.WriteFile(path, text, 0o600); err != nil {
					return err
				}
				fmt.Fprintf(out, "dispatcher %d: GW_CONFIG=%s bin/brassdale\n", n, path)
			}
			k.Troubles()
			fmt.Fprintf(out, "%d boxes, %d faults to come; Ctrl-C ends it\n", k.Now().Boxes, len(s.Faults))
			<-c.Context().Done()
			return broken(out, k.Now())
		}}
	c.Flags().StringVar(&dir, "dir", "works", "a folder for the dispatchers' files")
	c.Flags().StringVar(&variant, "variant", "", "the variant to play (the first if left out)")
	c.Flags().Uint64Var(&seed, "seed", 1, "the seed")
	return c
}

// broken prints the rules that were broken; with one, the command fails.
func broken(out io.Writer, s emulator.Standing) error {
	for _, b := range s.Breaches {
		fmt.Fprintln(out, b)
	}
	if n := len(s.Breaches); n > 0 {
		return fmt.Errorf("rules were broken %d times", n)
	}
	fmt.Fprintf(out, "%d sends, %d probes, no rule broken\n", s.Sends, s.Probes)
	return nil
}

// demo runs everything: a works, dispatchers, a load, and shows how it goes.
func demo() *cobra.Command {
	var path, binary, variant string
	var span time.Duration
	c := &cobra.Command{Use: "demo", Short: "Run boxes, discovery, dispatchers and a gentle load on loopback, and show live figures", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			f, err := experiment.Parse(demoScenario, "demo.hcl")
			if path != "" {
				f, err = experiment.Load(path)
			}
			if err != nil {
				return err
			}
			s, err := scenarioOf(f, variant, uint64(f.First))
			if err != nil {
				return err
			}
			if path == "" {
				s.Span = 24 * time.Hour // until Ctrl-C
			}
			ctx := c.Context()
			if span > 0 {
				var stop context.CancelFunc
				ctx, stop = context.WithDeadline(ctx, time.Now().Add(span))
				defer stop()
			}
			return play(ctx, c.OutOrStdout(), s, binary)
		}}
	c.Flags().StringVar(&path, "scenario", "", "an experiment's file whose first variant is played (a calm works if left out)")
	c.Flags().StringVar(&variant, "variant", "", "another variant of it")
	c.Flags().StringVar(&binary, "binary", dispatcherBeside(), "the dispatcher's program")
	c.Flags().DurationVar(&span, "for", 0, "stop by itself after this")
	return c
}

func play(ctx context.Context, out io.Writer, s emulator.Scenario, binary string) error {
	k, err := emulator.Open(s)
	if err != nil {
		return err
	}
	defer k.Close()
	dir, err := os.MkdirTemp("", "demo") // short: the dispatchers' sockets are in it
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	var nodes []*emulator.Node
	var targets []string
	for n := range s.Dispatchers {
		d, err := k.Start(ctx, binary, dir, n)
		if err != nil {
			return err
		}
		defer d.Kill()
		nodes, targets = append(nodes, d), append(targets, d.Address)
		fmt.Fprintf(out, "dispatcher %d: clients at %s, operators at http://%s/_vars\n", n, d.Address, d.Admin)
	}
	client, err := load.NewClient(load.HTTP1, s.Terms().Class, targets)
	if err != nil {
		return err
	}
	defer client.Close()
	k.Troubles()
	var recent seconds
	o := load.Options{Terms: s.Terms(), Seed: s.Seed, Each: recent.add}
	ended := make(chan *load.Result, 1)
	go func() { ended <- load.Run(ctx, s.Jobs(), client, o) }()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	live := terminal(os.Stdout)
	for {
		select {
		case r := <-ended:
			fmt.Fprintln(out)
			if err := r.Figures().Table(out); err != nil {
				return err
			}
			for n, d := range nodes {
				if err := d.Stop(time.Now().Add(6 * time.Second)); err != nil {
					return fmt.Errorf("dispatcher %d: %w\n%s", n, err, d.Log())
				}
			}
			return errors.Join(r.Usable(), broken(out, k.Now()))
		case <-tick.C:
			line := recent.line(k.Now())
			if live {
				fmt.Fprintf(out, "\r\x1b[K%s", line)
			} else {
				fmt.Fprintln(out, line)
			}
		}
	}
}

// seconds gathers what ended since it was asked last.
type seconds struct {
	mu    sync.Mutex
	times []time.Duration
	ends  map[load.Outcome]int
}

func (s *seconds) add(_ load.Job, o load.Outcome, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ends == nil {
		s.ends = map[load.Outcome]int{}
	}
	s.ends[o]++
	if o == load.Served || o == load.Late {
		s.times = append(s.times, latency)
	}
}

func (s *seconds) line(now emulator.Standing) string {
	s.mu.Lock()
	times, ends := s.times, s.ends
	s.times, s.ends = nil, nil
	s.mu.Unlock()
	slices.Sort(times)
	at := func(p float64) time.Duration {
		if len(times) == 0 {
			return 0
		}
		return times[min(int(p*float64(len(times))), len(times)-1)].Round(time.Millisecond)
	}
	return fmt.Sprintf("%4.0fs  served %d/s  refused %d  failed %d  unanswered %d   p50 %v  p99 %v   boxes %d of %d (cold %d, in trouble %d), slots %d of %d, waiting %d   broken rules %d",
		now.Since.Seconds(), ends[load.Served]+ends[load.Late], ends[load.Refused], ends[load.Failed], ends[load.Unanswered], at(0.5), at(0.99),
		now.Up, now.Boxes, now.Cold, now.Troubled, now.Busy, now.Slots, now.Waiting, len(now.Breaches))
}
