package main

import (
	"log/slog"
	"os"

	"github.com/spf13/cobra"

	"brassdale/internal/scale"
)

// hollowCommand makes the hidden command that runs hollow dispatchers for 'brassdale-lab scale' until its standard input ends.
func hollowCommand() *cobra.Command {
	return &cobra.Command{Use: "hollow SPEC", Short: "Run hollow dispatchers, for scale", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			spec, err := scale.LoadHollowSpec(args[0])
			if err != nil {
				return err
			}
			return scale.ServeHollow(command.Context(), spec, os.Stdin, os.Stdout, slog.New(slog.NewTextHandler(os.Stderr, nil)))
		}}
}
