package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"brassdale/internal/faults"
)

// fleet plays faults between real processes of a fleet.
func fleet() *cobra.Command {
	var out, binary string
	var seed uint64
	var processes, repeats int
	c := &cobra.Command{Use: "fleet FILE", Short: "Play a fleet of real dispatchers with faults between them, on loopback", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			f, err := faults.Load(args[0])
			if err != nil {
				return err
			}
			bad := 0
			for n := range max(repeats, 1) {
				dir := folder(out)
				if repeats > 1 {
					dir = filepath.Join(dir, fmt.Sprintf("seed-%d", seed+uint64(n)))
				}
				r, err := playFleet(c, f.Plan(seed+uint64(n), processes), binary, dir)
				if err != nil {
					return fmt.Errorf("seed %d: %w", seed+uint64(n), err)
				}
				fmt.Fprintf(c.OutOrStdout(), "seed %d: contradiction %.0f ms of %.0f ms, %d versions, %d jobs, %d answered once, %d never, %d lost with their process, %d rules broken\n",
					r.Seed, r.ContradictionMS, r.BoundMS, r.Versions, r.Jobs, r.AnsweredOnce, r.AnsweredNever, r.LostWithProcess, r.RulesBroken)
				if r.Bad() {
					bad++
				}
			}
			if bad > 0 {
				return fmt.Errorf("a rule or the bound was broken in %d runs", bad)
			}
			return nil
		}}
	c.Flags().StringVar(&out, "out", "", "the folder for the results (results/ and the time if left out)")
	c.Flags().StringVar(&binary, "binary", dispatcherBeside(), "the dispatcher's program")
	c.Flags().Uint64Var(&seed, "seed", 1, "of the schedule, the jobs and the proposals")
	c.Flags().IntVar(&processes, "processes", 0, "so many instead of the file's")
	c.Flags().IntVar(&repeats, "repeats", 1, "so many seeds from the first on, one after the other")
	return c
}

// playFleet plays a plan and keeps its result and time line.
func playFleet(c *cobra.Command, p faults.Plan, binary, dir string) (*faults.Result, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	work, err := os.MkdirTemp("", "fleet-") // not beside the results: a socket's path is short
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(work)
	r, err := faults.Play(c.Context(), p, binary, work)
	if err != nil {
		return nil, err
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "result.json"), append(text, '\n'), 0o644)
	}
	for i, log := range r.Logs {
		if err == nil && r.Bad() { // to look into
			err = os.WriteFile(filepath.Join(dir, fmt.Sprintf("process-%d.log", i)), []byte(log), 0o644)
		}
	}
	if err == nil {
		err = r.Chart(filepath.Join(dir, "timeline.svg"))
	}
	return r, err
}
