package main

import (
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"brassdale/internal/scale"
)

// hollow holds hollow dispatchers for the scale command, until its input ends.
func hollow() *cobra.Command {
	return &cobra.Command{Use: "hollow SPEC", Short: "Hold hollow dispatchers, for scale", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			spec, err := scale.LoadSpec(args[0])
			if err != nil {
				return err
			}
			return scale.Serve(c.Context(), spec, os.Stdin, os.Stdout, slog.New(slog.NewTextHandler(os.Stderr, nil)))
		}}
}
