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

// scaleOptions are the flags of 'brassdale-lab scale'.
type scaleOptions struct {
	out       string
	binary    string
	seed      uint64
	hollow    int
	processes int
	only      []string
	keepLogs  bool
	list      bool
	compare   bool
}

// scaleCommand makes 'brassdale-lab scale', which runs fleets of given sizes and measures the cost of control.
func scaleCommand() *cobra.Command {
	options := &scaleOptions{}
	command := &cobra.Command{
		Use:   "scale FILE",
		Short: "Run fleets of real and hollow dispatchers on loopback, and measure the cost of control",
		Args:  cobra.ExactArgs(1),
		RunE:  options.run,
	}
	flags := command.Flags()
	flags.StringVar(&options.out, "out", "", "the folder for the results (results/ and the time if left out)")
	flags.StringVar(&options.binary, "binary", dispatcherPath(), "the dispatcher's program")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of jobs, proposals, workers and links; the first if the file has several")
	flags.IntVar(&options.hollow, "hollow", -1, "number of hollow dispatchers (fleet agent and discovery only, no jobs), instead of the file's")
	flags.IntVar(&options.processes, "processes", 0, "number of processes that run them, instead of the file's")
	flags.StringSliceVar(&options.only, "only", nil, "run only these runs of the file, by name or by number, from 1")
	flags.BoolVar(&options.compare, "compare", false, "run the file's size with real and with hollow dispatchers in turn, and compare them side by side")
	flags.BoolVar(&options.list, "list", false, "list the file's runs without running them")
	flags.BoolVar(&options.keepLogs, "keep-logs", false, "keep the logs of all processes with the results")
	return command
}

// run runs the chosen points of a file one after the other. If a point fails, the others still run. The error has all failures.
func (o *scaleOptions) run(command *cobra.Command, args []string) error {
	path := args[0]
	file, err := scale.Load(path)
	if err != nil {
		return err
	}
	if o.compare {
		options := scale.Options{DispatcherProgram: o.binary, HollowArgs: []string{"hollow"}}
		commandLine := fmt.Sprintf("brassdale-lab scale %s --compare --seed %d", path, o.seed)
		return compareScale(command, file, options, commandLine, resultDirectory(o.out), o.seed, o.processes)
	}
	points, err := file.Points(o.seed, o.hollow, o.processes)
	if err != nil {
		return err
	}
	chosen, err := choosePoints(points, o.only)
	if err != nil {
		return err
	}
	if o.list {
		listPoints(command, points, chosen)
		return nil
	}
	dir := resultDirectory(o.out)
	var failures error
	for _, point := range chosen {
		err := o.runPoint(command, path, dir, point)
		if command.Context().Err() != nil {
			return errors.Join(failures, err)
		}
		if len(points) > 1 {
			err = errors.Join(err, gatherResults(dir, points))
		}
		if err != nil {
			failures = errors.Join(failures, fmt.Errorf("%s: %w", strings.TrimSpace(filepath.Base(path)+" "+point.Name), err))
		}
	}
	return failures
}

// listPoints prints the chosen points with their numbers in the file.
func listPoints(command *cobra.Command, points, chosen []scale.Point) {
	for i, point := range points {
		if slices.ContainsFunc(chosen, func(other scale.Point) bool { return other.Name == point.Name }) {
			fmt.Fprintf(command.OutOrStdout(), "%d %s: %d dispatchers, %d hollow, %d workers, %d zones, seed %d, %v measured\n",
				i+1, point.Name, point.Plan.Dispatchers, point.Plan.Hollow, point.Plan.Workers, point.Plan.Zones, point.Plan.Seed, point.Plan.Span)
		}
	}
}

// runPoint runs one point, writes its result below dir and prints it.
func (o *scaleOptions) runPoint(command *cobra.Command, path, dir string, point scale.Point) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	pointDir := filepath.Join(dir, point.Name)
	options := scale.Options{DispatcherProgram: o.binary, HollowProgram: self, HollowArgs: []string{"hollow"}}
	if o.keepLogs {
		options.LogDir = filepath.Join(pointDir, "logs")
	}
	result, err := scale.Run(command.Context(), point.Plan, options)
	if err = errors.Join(err, command.Context().Err()); err != nil {
		return err
	}
	result.Commit = revision()
	result.Command = fmt.Sprintf("brassdale-lab scale %s --seed %d --hollow %d --processes %d", path, point.Plan.Seed, point.Plan.Hollow, point.Plan.Processes)
	if point.Name != "" {
		result.Command += " --only " + point.Name
	}
	if err := writeResult(pointDir, result); err != nil {
		return err
	}
	fmt.Fprintln(command.OutOrStdout(), result)
	return result.Err()
}

// choosePoints returns the points that are selected by name, or by number from 1. It returns all points if the parameter only is empty.
func choosePoints(points []scale.Point, only []string) (chosen []scale.Point, err error) {
	if len(only) == 0 {
		return points, nil
	}
	for _, name := range only {
		number, _ := strconv.Atoi(name)
		i := slices.IndexFunc(points, func(p scale.Point) bool { return p.Name == name })
		if i < 0 {
			i = number - 1
		}
		if i < 0 || i >= len(points) {
			return nil, fmt.Errorf("no run %q in the file; --list shows the runs", name)
		}
		chosen = append(chosen, points[i])
	}
	return chosen, nil
}

// writeResult writes a result to result.json in a directory, which is created if it does not exist.
func writeResult(dir string, result *scale.Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	return writeJSON(filepath.Join(dir, "result.json"), result)
}

// writeJSON writes a value as indented JSON.
func writeJSON(path string, value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// gatherResults reads the results of the points below a directory and writes them to the directory's results.json. It
// skips points without a result.
func gatherResults(dir string, points []scale.Point) error {
	results := []json.RawMessage{}
	for _, point := range points {
		text, err := os.ReadFile(filepath.Join(dir, point.Name, "result.json"))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return err
		}
		results = append(results, text)
	}
	if len(results) == 0 {
		return nil
	}
	return writeJSON(filepath.Join(dir, "results.json"), results)
}
