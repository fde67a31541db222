// Brassdale-lab measures dispatchers: experiments on an emulated deployment, load, soak and scale tests. It is a separate binary so
// that the dispatcher does not link code that only measurements need.
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
	root := &cobra.Command{Use: "brassdale-lab", Short: "Experiments, load, soak and scale tests of dispatchers", SilenceUsage: true, SilenceErrors: true}
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
