package command

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"brassdale/internal/fleet"
)

// budgetsCommand makes 'brassdale budgets', which shows what the fleet's budgets grant and what is used.
func budgetsCommand() *cobra.Command {
	client := &fleetClient{}
	command := &cobra.Command{Use: "budgets", Short: "Show the fleet's budgets and this dispatcher's leases of them"}
	command.PersistentFlags().StringVar(&client.address, "address", "127.0.0.1:7400", "the address of any dispatcher's fleet listener")
	command.PersistentFlags().BoolVar(&client.asJSON, "json", false, "print JSON")
	command.AddCommand(client.statusCommand("status", "Show this dispatcher's lease, demand and denied uses; at the leader also what is leased in all", func(out io.Writer, s fleet.Status) {
		fmt.Fprint(out, "budget\there, a second\tasked for\tdenied\tof all, a second\tdealt out\n")
		for i, usage := range s.BudgetUsage {
			all := "-\t-"
			if i < len(s.BudgetsGranted) {
				all = fmt.Sprintf("%.1f\t%.1f", s.BudgetsGranted[i].RatePerSecond, s.BudgetsGranted[i].Outstanding)
			}
			fmt.Fprintf(out, "%s\t%.2f\t%.2f\t%d\t%s\n", usage.Kind, usage.RatePerSecond, usage.Demand, usage.Denied, all)
		}
	}))
	return command
}
