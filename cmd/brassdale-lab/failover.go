package main

import (
	"runtime"

	"github.com/spf13/cobra"

	"brassdale/internal/experiment"
)

// failoverCommand makes 'brassdale-lab failover', which compares ways to route between zones in virtual time.
func failoverCommand() *cobra.Command {
	var out string
	zones := experiment.ZoneExperiment{}
	command := &cobra.Command{Use: "failover", Short: "Compare ways to route jobs between zones side by side, in virtual time", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			bar := progressBar(len(experiment.ZoneCases())*len(experiment.ZoneModes)*zones.Seeds, "failover")
			rows, err := experiment.RunZones(command.Context(), zones, runtime.GOMAXPROCS(0), func() { _ = bar.Add(1) })
			_ = bar.Finish()
			if err != nil {
				return err
			}
			if err := experiment.ZoneTable(command.OutOrStdout(), rows); err != nil {
				return err
			}
			return experiment.SaveZoneRuns(resultDirectory(out), rows)
		}}
	command.Flags().StringVar(&out, "out", "", "the folder for the results (results/ and the time if left out)")
	command.Flags().IntVar(&zones.Seeds, "seeds", 5, "number of seeds, from 1 on")
	command.Flags().IntVar(&zones.Dispatchers, "dispatchers", 300, "number of dispatchers, in four zones")
	command.Flags().IntVar(&zones.Workers, "boxes", 40, "number of workers, of five slots each, in four zones")
	return command
}
