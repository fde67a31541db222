package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"brassdale/internal/experiment"
)

// maxPrintedBreaches limits the printed breaches of rules, for the scheduler and for the plain policies separately.
const maxPrintedBreaches = 20

// reportCommand makes 'brassdale-lab report'.
func reportCommand() *cobra.Command {
	return &cobra.Command{Use: "report DIR", Short: "Draw the tables and charts of saved results again", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			title, rows, err := experiment.Read(args[0])
			if err == nil {
				err = experiment.Draw(args[0], title, rows)
			}
			if err != nil {
				return err
			}
			return reportBreaches(command, args[0], rows, nil, nil)
		}}
}

// reportBreaches prints the table of rows and the breaches of rules. Breaches by plain policies are only printed. If the scheduler broke a
// rule, it returns an error, joined with the parameter stopped, which is the error that stopped the experiment, or nil.
func reportBreaches(command *cobra.Command, dir string, rows []experiment.Row, file *experiment.File, stopped error) error {
	if err := experiment.Table(command.OutOrStdout(), rows); err != nil {
		return err
	}
	fmt.Fprintf(command.OutOrStdout(), "kept in %s\n", dir)
	ofScheduler, ofPlain := experiment.Breaches(rows, file)
	printBreaches(ofPlain)
	printBreaches(ofScheduler)
	if len(ofPlain) > 0 {
		fmt.Fprintf(os.Stderr, "plain policies broke rules %d times\n", len(ofPlain))
	}
	if len(ofScheduler) > 0 {
		return errors.Join(stopped, fmt.Errorf("the scheduler broke rules %d times", len(ofScheduler)))
	}
	return stopped
}

// printBreaches prints breaches to standard error, no more than maxPrintedBreaches.
func printBreaches(breaches []string) {
	for _, breach := range breaches[:min(len(breaches), maxPrintedBreaches)] {
		fmt.Fprintln(os.Stderr, breach)
	}
	if more := len(breaches) - maxPrintedBreaches; more > 0 {
		fmt.Fprintf(os.Stderr, "and %d more\n", more)
	}
}
