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

// loadCommand sends a plan's jobs to running dispatchers.
func loadCommand() *cobra.Command {
	var targets []string
	var out string
	var clients int
	c := &cobra.Command{Use: "load --target HOST:PORT FILE", Short: "Send a plan's jobs to dispatchers, open loop, and tell what came of them",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			f, err := load.Load(args[0])
			if err != nil {
				return err
			}
			client, err := f.Client(targets)
			if err != nil {
				return err
			}
			defer client.Close()
			bar := progress(-1, "jobs")
			o := f.Options()
			o.Clients = clients
			o.Each = func(load.Job, load.Outcome, time.Duration) { _ = bar.Add(1) }
			r := load.Run(c.Context(), f.Source(), client, o)
			_ = bar.Finish()
			figures := r.Figures()
			if err := figures.Table(c.OutOrStdout()); err != nil {
				return err
			}
			if out != "" {
				if err := keep(out, figures); err != nil {
					return err
				}
			}
			if err := r.Usable(); err != nil {
				return err
			}
			if figures.CutShort {
				return errors.New("stopped before the plan was through")
			}
			return nil
		}}
	c.Flags().StringSliceVar(&targets, "target", nil, "a dispatcher's address, host:port; may be given again")
	c.Flags().StringVar(&out, "out", "", "a file for the figures, as JSON")
	c.Flags().IntVar(&clients, "closed", 0, "so many clients that each wait for their answer, to show what that would hide")
	_ = c.MarkFlagRequired("target")
	return c
}

// keep writes figures to a file.
func keep(path string, f load.Figures) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := f.JSON(file); err != nil {
		file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	fmt.Fprintf(os.Stderr, "kept in %s\n", path)
	return nil
}
