package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"

	"github.com/spf13/cobra"

	"brassdale/internal/experiment"
)

// experimentOptions are the options for the runs of an experiment.
type experimentOptions struct {
	out      string // the directory for the results; see resultDirectory
	seeds    int    // replaces a file's number of seeds; 0 keeps it
	player   experiment.Runner
	parallel int // runs at a time
}

// experimentCommand makes 'brassdale-lab experiment'.
func experimentCommand() *cobra.Command {
	var options experimentOptions
	var binary string
	var sockets bool
	command := &cobra.Command{Use: "experiment FILE|DIR", Short: "Run an experiment, or compare all of a folder side by side, and save the results", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			options.player, options.parallel = experiment.InVirtualTime, runtime.GOMAXPROCS(0)
			info, err := os.Stat(args[0])
			isDirectory := err == nil && info.IsDir()
			switch {
			case isDirectory && sockets:
				return errors.New("a folder of experiments runs in virtual time only, without --sockets")
			case isDirectory:
				return runDirectory(command, args[0], options)
			case sockets: // in real time, one after the other, as parallel runs would compete for cores
				options.player, options.parallel = experiment.OnSockets(binary), 1
			}
			return runFile(command, args[0], options)
		}}
	command.Flags().StringVar(&options.out, "out", "", "the folder for the results (results/ and the time if left out)")
	command.Flags().BoolVar(&sockets, "sockets", false, "run in real time, with real dispatchers on loopback")
	command.Flags().StringVar(&binary, "binary", dispatcherPath(), "the dispatcher's program, for --sockets")
	command.Flags().IntVar(&options.seeds, "seeds", 0, "number of seeds, instead of the file's")
	return command
}

// run loads an experiment and runs it, with a progress bar. If the context ends or a run fails, it returns the rows until then with the
// error. The returned file is nil only if it cannot be loaded.
func (o experimentOptions) run(ctx context.Context, path string) (file *experiment.File, rows []experiment.Row, err error) {
	file, err = experiment.Load(path)
	if err != nil {
		return nil, nil, err
	}
	if o.seeds > 0 {
		file.Seeds = o.seeds
	}
	progress := progressBar(file.Seeds*len(file.Variants), file.Title)
	rows, err = experiment.Run(ctx, file, o.player, o.parallel, revision(), func() { _ = progress.Add(1) })
	_ = progress.Finish()
	return file, rows, err
}

// runFile runs the experiment of a file, and saves and prints the results. Runs that were finished before a cancellation are saved.
func runFile(command *cobra.Command, path string, options experimentOptions) error {
	file, rows, err := options.run(command.Context(), path)
	if errors.Is(err, context.Canceled) && len(rows) > 0 {
		fmt.Fprintf(os.Stderr, "stopped: %d of %d runs are saved\n", len(rows), file.Seeds*len(file.Variants))
	} else if err != nil {
		return err
	}
	out := resultDirectory(options.out)
	if err := experiment.Save(out, file.Title, rows); err != nil {
		return err
	}
	return reportBreaches(command, out, rows, file, err)
}

// runDirectory runs all experiments of a directory and compares the scheduler with the best plain policy of each. It returns an
// error if the scheduler's merit is lower by more than the margin, or the scheduler breaks a rule.
func runDirectory(command *cobra.Command, dir string, options experimentOptions) error {
	paths, err := experiment.Files(dir)
	if err != nil {
		return err
	}
	var deployments []experiment.Deployment
	for _, path := range paths {
		file, rows, err := options.run(command.Context(), path)
		if err != nil {
			return err
		}
		ofScheduler, _ := experiment.Breaches(rows, file)
		for _, breach := range ofScheduler {
			fmt.Fprintf(os.Stderr, "%s: %s\n", file.Title, breach)
		}
		deployments = append(deployments, experiment.Deployment{Name: file.Title, Rows: rows})
	}
	out := resultDirectory(options.out)
	if err := experiment.SaveOverview(out, deployments); err != nil {
		return err
	}
	standings := experiment.CompareDeployments(deployments)
	if err := experiment.Overview(command.OutOrStdout(), standings); err != nil {
		return err
	}
	fmt.Fprintf(command.OutOrStdout(), "kept in %s\n", out)
	behind := 0
	for _, standing := range standings {
		if standing.Behind() {
			behind++
		}
	}
	if behind > 0 {
		return fmt.Errorf("the scheduler is below the best plain policy, or broke a rule, at %d of %d deployments", behind, len(standings))
	}
	return nil
}
