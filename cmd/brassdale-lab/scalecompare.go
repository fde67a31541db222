package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"brassdale/internal/scale"
)

// compareRounds is the number of rounds: each has a run with real dispatchers, then one with hollow dispatchers.
const compareRounds = 2

// compareScale runs a size with real and with hollow dispatchers in turn, compares their costs and writes the comparison to dir.
func compareScale(command *cobra.Command, file *scale.File, options scale.Options, commandLine, dir string, seed uint64, processes int) error {
	plans := [2]scale.Plan{}
	var err error
	if plans[0], plans[1], err = file.ComparisonPlans(seed, processes); err != nil {
		return err
	}
	if options.HollowProgram, err = os.Executable(); err != nil {
		return err
	}
	var results [2][]*scale.Result
	for round := range compareRounds {
		for kindIndex, kind := range []string{"real", "hollow"} {
			name := fmt.Sprintf("%s-%d", kind, round+1)
			result, err := scale.Run(command.Context(), plans[kindIndex], options)
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			result.Commit, result.Command = revision(), commandLine
			if err := writeResult(filepath.Join(dir, name), result); err != nil {
				return err
			}
			fmt.Fprintf(command.OutOrStdout(), "%s: %s\n", name, result)
			if err := result.Err(); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			results[kindIndex] = append(results[kindIndex], result)
		}
	}
	comparison := scale.Compare(results[0], results[1])
	comparison.Commit, comparison.Command = revision(), commandLine
	if err := writeJSON(filepath.Join(dir, "compare.json"), comparison); err != nil {
		return err
	}
	if err := comparison.Write(command.OutOrStdout()); err != nil {
		return err
	}
	return comparison.Err()
}
