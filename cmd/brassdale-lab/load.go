package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"brassdale/internal/load"
)

// loadCommand makes 'brassdale-lab load', which sends the jobs of a plan to running dispatchers.
func loadCommand() *cobra.Command {
	var targets []string
	var out string
	var clients int
	command := &cobra.Command{Use: "load --target HOST:PORT FILE", Short: "Send a plan's jobs to dispatchers in an open loop, and report the results",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			file, err := load.Load(args[0])
			if err != nil {
				return err
			}
			client, err := file.Client(targets)
			if err != nil {
				return err
			}
			defer client.Close()
			bar := progressBar(-1, "jobs")
			options := file.Options()
			options.Clients = clients
			options.Each = func(load.Job, load.Outcome, time.Duration) { _ = bar.Add(1) }
			result := load.Run(command.Context(), file.Source(), client, options)
			_ = bar.Finish()
			figures := result.Figures()
			if err := figures.Table(command.OutOrStdout()); err != nil {
				return err
			}
			if out != "" {
				if err := writeFigures(out, figures); err != nil {
					return err
				}
			}
			if err := result.Usable(); err != nil {
				return err
			}
			if figures.CutShort {
				return errors.New("stopped before the end of the plan")
			}
			return nil
		}}
	command.Flags().StringSliceVar(&targets, "target", nil, "a dispatcher's address, host:port; repeatable")
	command.Flags().StringVar(&out, "out", "", "a file for the figures, as JSON")
	command.Flags().IntVar(&clients, "closed", 0, "number of clients of a closed loop, each of which waits for its answer, to show what a closed loop hides; 0 for an open loop")
	_ = command.MarkFlagRequired("target")
	return command
}

// writeFigures writes figures to a file as JSON.
func writeFigures(path string, figures load.Figures) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := figures.JSON(file); err != nil {
		return errors.Join(err, file.Close())
	}
	if err := file.Close(); err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "kept in %s\n", path)
	return nil
}
