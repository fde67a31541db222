package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"brassdale/internal/scale"
)

// compareRounds is how often real and hollow dispatchers are played in turn.
const compareRounds = 2

// compareScale plays a size with real and with hollow dispatchers in turn, and sets them beside each other.
func compareScale(c *cobra.Command, f *scale.File, o scale.Options, command, dir string, seed uint64, processes int) error {
	plans := [2]scale.Plan{}
	var err error
	if plans[0], plans[1], err = f.Compared(seed, processes); err != nil {
		return err
	}
	if o.Self, err = os.Executable(); err != nil {
		return err
	}
	var results [2][]*scale.Result
	for round := range compareRounds {
		for i, kind := range []string{"real", "hollow"} {
			name := fmt.Sprintf("%s-%d", kind, round+1)
			r, err := scale.Play(c.Context(), plans[i], o)
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			r.Commit, r.Command = build(), command
			if err := keepResult(filepath.Join(dir, name), r); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", name, r)
			if err := r.Err(); err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
			results[i] = append(results[i], r)
		}
	}
	x := scale.Compare(results[0], results[1])
	x.Commit, x.Command = build(), command
	if err := writeJSON(filepath.Join(dir, "compare.json"), x); err != nil {
		return err
	}
	if err := x.Write(c.OutOrStdout()); err != nil {
		return err
	}
	return x.Err()
}
