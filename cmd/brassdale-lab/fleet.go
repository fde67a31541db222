package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"brassdale/internal/faults"
)

// fleetCommand makes 'brassdale-lab fleet', which injects faults between the real processes of a fleet.
func fleetCommand() *cobra.Command {
	var out, binary string
	var seed uint64
	var processes, repeats int
	command := &cobra.Command{Use: "fleet FILE", Short: "Run a fleet of real dispatchers on loopback, with faults between them", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			file, err := faults.Load(args[0])
			if err != nil {
				return err
			}
			bad := 0
			for repeat := range max(repeats, 1) {
				dir := resultDirectory(out)
				if repeats > 1 {
					dir = filepath.Join(dir, fmt.Sprintf("seed-%d", seed+uint64(repeat)))
				}
				result, err := runFleet(command, file.Plan(seed+uint64(repeat), processes), binary, dir)
				if err != nil {
					return fmt.Errorf("seed %d: %w", seed+uint64(repeat), err)
				}
				fmt.Fprintf(command.OutOrStdout(), "seed %d: contradiction %.0f ms of %.0f ms, %d versions, %d jobs, %d answered once, %d never, %d lost with their process, %d rules broken\n",
					result.Seed, result.ContradictionMS, result.BoundMS, result.Versions, result.Jobs, result.AnsweredOnce, result.AnsweredNever, result.LostWithProcess, result.RulesBroken)
				if result.Bad() {
					bad++
				}
			}
			if bad > 0 {
				return fmt.Errorf("%d runs broke a rule or exceeded the bound on contradictions", bad)
			}
			return nil
		}}
	command.Flags().StringVar(&out, "out", "", "the folder for the results (results/ and the time if left out)")
	command.Flags().StringVar(&binary, "binary", dispatcherPath(), "the dispatcher's program")
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of the schedule, the jobs and the proposals")
	command.Flags().IntVar(&processes, "processes", 0, "number of processes, instead of the file's")
	command.Flags().IntVar(&repeats, "repeats", 1, "number of runs, one after the other, with seeds from --seed on")
	return command
}

// runFleet runs a plan and writes its result and timeline to a directory. If the run broke a rule, it also writes the logs.
func runFleet(command *cobra.Command, plan faults.Plan, binary, dir string) (*faults.Result, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	work, err := os.MkdirTemp("", "fleet-") // not below the results, because the length of a socket's path is limited
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(work) }()
	result, err := faults.Run(command.Context(), plan, binary, work)
	if err != nil {
		return nil, err
	}
	text, err := json.MarshalIndent(result, "", "  ")
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "result.json"), append(text, '\n'), 0o644)
	}
	for i, log := range result.Logs {
		if err == nil && result.Bad() { // for diagnosis
			err = os.WriteFile(filepath.Join(dir, fmt.Sprintf("process-%d.log", i)), []byte(log), 0o644)
		}
	}
	if err == nil {
		err = result.Chart(filepath.Join(dir, "timeline.svg"))
	}
	return result, err
}
