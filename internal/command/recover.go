package command

import (
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"brassdale/internal/fleet"
	"brassdale/internal/fleet/raftlog"
)

// recoverCommand makes 'brassdale fleet recover': a raft group of one voter out of that voter's file, for a group that has lost its
// majority for good.
func (client *fleetClient) recoverCommand() *cobra.Command {
	var voterID uint64
	var name, listen string
	var oldAddresses []string
	command := &cobra.Command{Use: "recover DIRECTORY", Short: "Make a council of one out of a seat's file, where the majority is gone for good", Args: cobra.ExactArgs(1),
		Long: "Make a council of one seat out of what that seat has on file. Its dispatcher must be stopped, and so must all others that had\n" +
			"a seat: each of their addresses is asked, and the command refuses while one answers. Other dispatchers go on, and take seats\n" +
			"one after the other. Who hears of the new council is fenced against the old one by its era.",
		RunE: func(command *cobra.Command, args []string) error {
			for _, address := range oldAddresses {
				status, _, err := fleet.Call(command.Context(), &http.Client{Transport: &http.Transport{}}, "http://"+address+"/council/status", nil, time.Now().Add(time.Second))
				if err == nil {
					return fmt.Errorf("%s still answers (%d): stop it first", address, status)
				}
			}
			record, err := raftlog.Recover(args[0], voterID, name, listen)
			if err != nil {
				return err
			}
			fmt.Fprintf(command.OutOrStdout(), "era %d: a council of seat %d, version %d in force\n", record.Epoch, voterID, record.InForce.Number)
			return nil
		}}
	command.Flags().Uint64Var(&voterID, "seat", 0, "the seat whose file is in the directory")
	command.Flags().StringVar(&name, "name", "", "the name of its dispatcher")
	command.Flags().StringVar(&listen, "listen", "", "its council's address")
	command.Flags().StringSliceVar(&oldAddresses, "old", nil, "the council's addresses of all that had a seat")
	for _, flag := range []string{"seat", "name", "listen", "old"} {
		_ = command.MarkFlagRequired(flag)
	}
	return command
}
