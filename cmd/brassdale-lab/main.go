// Brassdale-lab measures dispatchers: experiments on an emulated deployment, load, soak and scale tests. It is a binary of its own so
// that the dispatcher does not link what only measuring needs.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	root := &cobra.Command{Use: "brassdale-lab", Short: "Experiments on a model of the works", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(
		experimentCommand(),
		reportCommand(),
		loadCommand(),
		emulateCommand(),
		demoCommand(),
		fleetCommand(),
		failoverCommand(),
		scaleCommand(),
		scaleReportCommand(),
		hollowCommand(),
		injectCommand(),
		launchCommand(),
		soakCommand(),
	)
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "brassdale-lab:", err)
		os.Exit(1)
	}
}
