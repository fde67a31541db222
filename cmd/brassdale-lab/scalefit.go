package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"brassdale/internal/scale/fit"
)

// scaleReport draws the results of scale runs together.
func scaleReport() *cobra.Command {
	var out string
	var before []string
	c := &cobra.Command{Use: "scale-report DIR...", Short: "Fit what scale runs cost against the fleet's size, and draw it", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			rows, err := fit.Read(args...)
			if err != nil {
				return err
			}
			var was []fit.Row
			if len(before) > 0 {
				if was, err = fit.Read(before...); err != nil {
					return err
				}
			}
			dir := out
			if info, err := os.Stat(args[0]); dir == "" && len(args) == 1 && err == nil && info.IsDir() {
				dir = args[0]
			}
			dir = folder(dir)
			if err := fit.Save(dir, rows); err != nil {
				return err
			}
			if err := fit.Table(c.OutOrStdout(), rows); err != nil {
				return err
			}
			if len(was) > 0 {
				fmt.Fprintln(c.OutOrStdout())
				if err := fit.CompareTable(c.OutOrStdout(), was, rows); err != nil {
					return err
				}
				if err := fit.SaveCompared(filepath.Join(dir, "compared.txt"), was, rows); err != nil {
					return err
				}
			}
			fmt.Fprintf(c.OutOrStdout(), "kept in %s\n", dir)
			return nil
		}}
	c.Flags().StringVar(&out, "out", "", "the folder for what is written (DIR if there is one, else results/ and the time)")
	c.Flags().StringSliceVar(&before, "before", nil, "a folder of runs of the build before, to compare with; may be given again")
	return c
}
