package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"brassdale/internal/scale"
)

// scaleCommand plays fleets of a size.
func scaleCommand() *cobra.Command {
	var out, binary string
	var seed uint64
	var hollow, processes int
	var keep bool
	c := &cobra.Command{Use: "scale FILE", Short: "Play a fleet of real and hollow dispatchers, and measure what control costs, on loopback", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			f, err := scale.Load(args[0])
			if err != nil {
				return err
			}
			p, err := f.Plan(seed, hollow, processes)
			if err != nil {
				return err
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			dir := folder(out)
			o := scale.Options{Binary: binary, Self: self, HollowArgs: []string{"hollow"}}
			if keep {
				o.KeepLogs = filepath.Join(dir, "logs")
			}
			r, err := scale.Play(c.Context(), p, o)
			if err != nil {
				return err
			}
			r.Commit, r.Command = build(), fmt.Sprintf("brassdale-lab scale %s --seed %d --hollow %d --processes %d", filepath.Base(args[0]), seed, p.Hollow, p.Processes)
			if err := keepResult(dir, r); err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), r)
			switch {
			case r.FellBehind:
				return fmt.Errorf("the machine fell behind, the run does not count: %s", r.FellBehindWhy)
			case r.Bad():
				return errors.New("a rule was broken, a job not answered or a change not acted on")
			}
			return nil
		}}
	c.Flags().StringVar(&out, "out", "", "the folder for the results (results/ and the time if left out)")
	c.Flags().StringVar(&binary, "binary", dispatcherBeside(), "the dispatcher's program")
	c.Flags().Uint64Var(&seed, "seed", 1, "of jobs, proposals and works")
	c.Flags().IntVar(&hollow, "hollow", -1, "so many of the dispatchers are hollow, instead of the file's")
	c.Flags().IntVar(&processes, "processes", 0, "so many processes hold them, instead of the file's")
	c.Flags().BoolVar(&keep, "keep-logs", false, "keep the logs of all processes beside the results")
	return c
}

func keepResult(dir string, r *scale.Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, "result.json"), append(text, '\n'), 0o644)
}
