package command

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"brassdale/internal/fleet"
)

// budgetsCommand shows how the fleet's budgets stand.
func budgetsCommand() *cobra.Command {
	f := &allies{}
	c := &cobra.Command{Use: "budgets", Short: "What all dispatchers together may do, and what this one may of it"}
	c.PersistentFlags().StringVar(&f.address, "address", "127.0.0.1:7400", "the council's address of any dispatcher of the fleet")
	c.PersistentFlags().BoolVar(&f.asJSON, "json", false, "as JSON")
	c.AddCommand(f.show("status", "Demand, lease and what was denied here; at the leader also what is dealt out", func(w io.Writer, s fleet.Status) {
		fmt.Fprint(w, "budget\there, a second\tasked for\tdenied\tof all, a second\tdealt out\n")
		for i, x := range s.BudgetUsage {
			all := "-\t-"
			if i < len(s.BudgetsGranted) {
				all = fmt.Sprintf("%.1f\t%.1f", s.BudgetsGranted[i].RatePerSecond, s.BudgetsGranted[i].Outstanding)
			}
			fmt.Fprintf(w, "%s\t%.2f\t%.2f\t%d\t%s\n", x.Kind, x.RatePerSecond, x.Demand, x.Denied, all)
		}
	}))
	return c
}
