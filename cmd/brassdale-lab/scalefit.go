package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"brassdale/internal/scale/fit"
)

// scaleReportCommand makes 'brassdale-lab scale-report', which fits the costs of scale runs against the fleet's size.
func scaleReportCommand() *cobra.Command {
	var out string
	var before []string
	command := &cobra.Command{Use: "scale-report DIR...", Short: "Fit the costs of scale runs against the fleet's size, and draw charts", Args: cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			rows, err := fit.Read(args...)
			if err != nil {
				return err
			}
			var rowsBefore []fit.Run
			if len(before) > 0 {
				if rowsBefore, err = fit.Read(before...); err != nil {
					return err
				}
			}
			dir := out
			if info, err := os.Stat(args[0]); dir == "" && len(args) == 1 && err == nil && info.IsDir() {
				dir = args[0]
			}
			dir = resultDirectory(dir)
			if err := fit.Save(dir, rows); err != nil {
				return err
			}
			if err := fit.Table(command.OutOrStdout(), rows); err != nil {
				return err
			}
			if len(rowsBefore) > 0 {
				fmt.Fprintln(command.OutOrStdout())
				if err := fit.CompareTable(command.OutOrStdout(), rowsBefore, rows); err != nil {
					return err
				}
				if err := fit.SaveCompared(filepath.Join(dir, "compared.txt"), rowsBefore, rows); err != nil {
					return err
				}
			}
			fmt.Fprintf(command.OutOrStdout(), "kept in %s\n", dir)
			return nil
		}}
	command.Flags().StringVar(&out, "out", "", "the folder for the report (DIR if there is only one, else results/ and the time)")
	command.Flags().StringSliceVar(&before, "before", nil, "a folder of runs of an earlier build, to compare with; repeatable")
	return command
}
