package main

import (
	"runtime"

	"github.com/spf13/cobra"

	"brassdale/internal/experiment"
)

// failover sets four ways to decide on zones beside each other, in virtual time.
func failover() *cobra.Command {
	var out string
	t := experiment.ZoneExperiment{}
	c := &cobra.Command{Use: "failover", Short: "Set ways to decide where zones' jobs go beside each other, in virtual time", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			bar := progress(len(experiment.ZoneCases())*len(experiment.ZoneModes)*t.Seeds, "failover")
			rows, err := experiment.RunZones(c.Context(), t, runtime.GOMAXPROCS(0), func() { _ = bar.Add(1) })
			_ = bar.Finish()
			if err != nil {
				return err
			}
			if err := experiment.ZoneTable(c.OutOrStdout(), rows); err != nil {
				return err
			}
			return experiment.SaveZoneRuns(folder(out), rows)
		}}
	c.Flags().StringVar(&out, "out", "", "the folder for the results (results/ and the time if left out)")
	c.Flags().IntVar(&t.Seeds, "seeds", 5, "from 1 on")
	c.Flags().IntVar(&t.Dispatchers, "dispatchers", 300, "in four zones")
	c.Flags().IntVar(&t.Boxes, "boxes", 40, "of five slots, in four zones")
	return c
}
