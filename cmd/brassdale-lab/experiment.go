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

// experimentCommand makes 'brassdale-lab experiment'.
func experimentCommand() *cobra.Command {
	var out, binary string
	var seeds int
	var sockets bool
	command := &cobra.Command{Use: "experiment FILE|DIR", Short: "Play an experiment, or all of a folder beside each other, and keep the results", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if info, err := os.Stat(args[0]); err == nil && info.IsDir() {
				if sockets {
					return errors.New("a folder of experiments is played in virtual time only")
				}
				return runOverview(command, args[0], out, seeds)
			}
			if sockets { // in real time, one after the other: they would take each other's cores
				return runExperiment(command, args[0], out, seeds, experiment.OnSockets(binary), 1)
			}
			return runExperiment(command, args[0], out, seeds, experiment.InVirtualTime, runtime.GOMAXPROCS(0))
		}}
	command.Flags().StringVar(&out, "out", "", "the folder for the results (results/ and the time if left out)")
	command.Flags().BoolVar(&sockets, "sockets", false, "in real time, with real dispatchers on loopback")
	command.Flags().StringVar(&binary, "binary", dispatcherPath(), "the dispatcher's program, for --sockets")
	command.Flags().IntVar(&seeds, "seeds", 0, "so many seeds instead of the file's")
	return command
}

// runExperiment runs the experiment of a file with a player, so many runs at a time, and saves and prints the results. seeds is used in
// place of the file's number of seeds unless it is 0. Runs that were finished before a cancellation are saved.
func runExperiment(command *cobra.Command, path, out string, seeds int, play experiment.Player, together int) error {
	file, err := experiment.Load(path)
	if err != nil {
		return err
	}
	if seeds > 0 {
		file.Seeds = seeds
	}
	progress := progressBar(file.Seeds*len(file.Variants), file.Title)
	rows, err := experiment.Run(command.Context(), file, play, together, revision(), func() { _ = progress.Add(1) })
	_ = progress.Finish()
	if errors.Is(err, context.Canceled) && len(rows) > 0 {
		fmt.Fprintf(os.Stderr, "stopped: %d of %d runs are kept\n", len(rows), file.Seeds*len(file.Variants))
	} else if err != nil {
		return err
	}
	out = resultDirectory(out)
	if err := experiment.Save(out, file.Title, rows); err != nil {
		return err
	}
	return reportBreaches(command, out, rows, file, err)
}

// runOverview runs all experiments of a directory and compares the scheduler with the best plain policy of each. It is an error if the
// scheduler is behind by more than the margin, or breaks a rule.
func runOverview(command *cobra.Command, dir, out string, seeds int) error {
	files, err := experiment.Files(dir)
	if err != nil {
		return err
	}
	var results []experiment.Deployment
	behind := 0
	for _, path := range files {
		file, err := experiment.Load(path)
		if err != nil {
			return err
		}
		if seeds > 0 {
			file.Seeds = seeds
		}
		bar := progressBar(file.Seeds*len(file.Variants), file.Title)
		rows, err := experiment.Run(command.Context(), file, experiment.InVirtualTime, runtime.GOMAXPROCS(0), revision(), func() { _ = bar.Add(1) })
		_ = bar.Finish()
		if err != nil {
			return err
		}
		module, _ := experiment.Breaches(rows, file)
		for _, breach := range module {
			fmt.Fprintf(os.Stderr, "%s: %s\n", file.Title, breach)
		}
		results = append(results, experiment.Deployment{Name: file.Title, Rows: rows})
	}
	out = resultDirectory(out)
	if err := experiment.SaveOverview(out, results); err != nil {
		return err
	}
	standings := experiment.Standings(results)
	for _, s := range standings {
		if s.Behind() {
			behind++
		}
	}
	if err := experiment.Overview(command.OutOrStdout(), standings); err != nil {
		return err
	}
	fmt.Fprintf(command.OutOrStdout(), "kept in %s\n", out)
	if behind > 0 {
		return fmt.Errorf("the module stands behind at %d of %d works", behind, len(standings))
	}
	return nil
}

// reportCommand makes 'brassdale-lab report'.
func reportCommand() *cobra.Command {
	return &cobra.Command{Use: "report DIR", Short: "Draw tables and charts of kept results again", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			title, rows, err := experiment.Read(args[0])
			if err == nil {
				err = experiment.Draw(args[0], title, rows)
			}
			if err != nil {
				return err
			}
			return reportBreaches(command, args[0], rows, nil, nil)
		}}
}

// reportBreaches prints the table of rows and each breach of a rule. A breach by the scheduler is an error; one by a plain policy is printed
// only.
func reportBreaches(command *cobra.Command, dir string, rows []experiment.Row, file *experiment.File, err error) error {
	if e := experiment.Table(command.OutOrStdout(), rows); e != nil {
		return e
	}
	fmt.Fprintf(command.OutOrStdout(), "kept in %s\n", dir)
	module, plain := experiment.Breaches(rows, file)
	for _, breaches := range [][]string{plain, module} {
		for i, breach := range breaches {
			if i == 20 {
				fmt.Fprintf(os.Stderr, "and %d more\n", len(breaches)-i)
				break
			}
			fmt.Fprintln(os.Stderr, breach)
		}
	}
	if len(plain) > 0 {
		fmt.Fprintf(os.Stderr, "plain policies broke rules %d times\n", len(plain))
	}
	if len(module) > 0 {
		err = errors.Join(err, fmt.Errorf("the module broke rules %d times", len(module)))
	}
	return err
}
