package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"brassdale/internal/scale"
)

// scaleCommand plays fleets of a size.
func scaleCommand() *cobra.Command {
	var out, binary string
	var seed uint64
	var hollow, processes int
	var only []string
	var keep, list, compare bool
	c := &cobra.Command{Use: "scale FILE", Short: "Play fleets of real and hollow dispatchers, and measure what control costs, on loopback", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			f, err := scale.Load(args[0])
			if err != nil {
				return err
			}
			if compare {
				o := scale.Options{Binary: binary, HollowArgs: []string{"hollow"}}
				return compareScale(c, f, o, fmt.Sprintf("brassdale-lab scale %s --compare --seed %d", args[0], seed), folder(out), seed, processes)
			}
			points, err := f.Points(seed, hollow, processes)
			if err != nil {
				return err
			}
			chosen, err := choose(points, only)
			if err != nil {
				return err
			}
			if list {
				for i, p := range points {
					if slices.ContainsFunc(chosen, func(o scale.Point) bool { return o.Name == p.Name }) {
						fmt.Fprintf(c.OutOrStdout(), "%d %s: %d dispatchers, %d hollow, %d workers, %d zones, seed %d, %v measured\n",
							i+1, p.Name, p.Plan.Dispatchers, p.Plan.Hollow, p.Plan.Workers, p.Plan.Zones, p.Plan.Seed, p.Plan.Span)
					}
				}
				return nil
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			dir := folder(out)
			var failed error
			for _, p := range chosen {
				at := filepath.Join(dir, p.Name)
				o := scale.Options{Binary: binary, Self: self, HollowArgs: []string{"hollow"}}
				if keep {
					o.KeepLogs = filepath.Join(at, "logs")
				}
				r, err := scale.Play(c.Context(), p.Plan, o)
				if c.Context().Err() != nil {
					return errors.Join(failed, err)
				}
				if err == nil {
					r.Commit = build()
					r.Command = fmt.Sprintf("brassdale-lab scale %s --seed %d --hollow %d --processes %d", args[0], p.Plan.Seed, p.Plan.Hollow, p.Plan.Processes)
					if p.Name != "" {
						r.Command += " --only " + p.Name
					}
					if err = keepResult(at, r); err == nil {
						fmt.Fprintln(c.OutOrStdout(), r)
						err = r.Err()
					}
					if len(points) > 1 {
						err = errors.Join(err, gather(dir, points))
					}
				}
				if err != nil {
					failed = errors.Join(failed, fmt.Errorf("%s: %w", strings.TrimSpace(filepath.Base(args[0])+" "+p.Name), err))
				}
			}
			return failed
		}}
	c.Flags().StringVar(&out, "out", "", "the folder for the results (results/ and the time if left out)")
	c.Flags().StringVar(&binary, "binary", dispatcherBeside(), "the dispatcher's program")
	c.Flags().Uint64Var(&seed, "seed", 1, "of jobs, proposals and works; the first where the file has several")
	c.Flags().IntVar(&hollow, "hollow", -1, "so many of the dispatchers are hollow, instead of the file's")
	c.Flags().IntVar(&processes, "processes", 0, "so many processes hold them, instead of the file's")
	c.Flags().StringSliceVar(&only, "only", nil, "play these runs of the file alone, by name or by number, from 1")
	c.Flags().BoolVar(&compare, "compare", false, "play the file's size with real and with hollow dispatchers in turn, and set them beside each other")
	c.Flags().BoolVar(&list, "list", false, "name the file's runs, and play none")
	c.Flags().BoolVar(&keep, "keep-logs", false, "keep the logs of all processes beside the results")
	return c
}

// choose gives the runs that are named or numbered; all where none is.
func choose(points []scale.Point, only []string) (chosen []scale.Point, err error) {
	if len(only) == 0 {
		return points, nil
	}
	for _, name := range only {
		n, _ := strconv.Atoi(name)
		i := slices.IndexFunc(points, func(p scale.Point) bool { return p.Name == name })
		if i < 0 {
			i = n - 1
		}
		if i < 0 || i >= len(points) {
			return nil, fmt.Errorf("there is no run %q: --list names them", name)
		}
		chosen = append(chosen, points[i])
	}
	return chosen, nil
}

func keepResult(dir string, r *scale.Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	return writeJSON(filepath.Join(dir, "result.json"), r)
}

func writeJSON(path string, what any) error {
	text, err := json.MarshalIndent(what, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// gather writes the results of all runs of a file that are in a folder.
func gather(dir string, points []scale.Point) error {
	all := []json.RawMessage{}
	for _, p := range points {
		text, err := os.ReadFile(filepath.Join(dir, p.Name, "result.json"))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return err
		}
		all = append(all, text)
	}
	if len(all) == 0 {
		return nil
	}
	return writeJSON(filepath.Join(dir, "results.json"), all)
}
