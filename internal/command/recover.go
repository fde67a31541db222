package command

import (
	"fmt"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"brassdale/internal/fleet"
	"brassdale/internal/fleet/raftlog"
)

// recoverCommand makes 'brassdale fleet recover', which makes a raft group of one voter from that voter's file, for a group that has lost
// its majority for good.
func (client *fleetClient) recoverCommand() *cobra.Command {
	var voterID uint64
	var name, listen string
	var oldAddresses []string
	command := &cobra.Command{Use: "recover DIRECTORY", Short: "Make a raft group of one voter from its file, if the majority is lost for good", Args: cobra.ExactArgs(1),
		Long: "Make a raft group of one voter from that voter's file. Its dispatcher must be stopped, and so must all other old voters: the\n" +
			"command calls each of their addresses, and refuses while one answers. Other dispatchers continue, and become voters one\n" +
			"after the other. The new group has a higher epoch (\"era\"): a dispatcher that receives it rejects the old group from then on.",
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
			fmt.Fprintf(command.OutOrStdout(), "era %d: raft group of voter %d alone, version %d in force\n", record.Epoch, voterID, record.InForce.Number)
			return nil
		}}
	command.Flags().Uint64Var(&voterID, "seat", 0, "the ID of the voter whose file is in the directory")
	command.Flags().StringVar(&name, "name", "", "the name of the voter's dispatcher")
	command.Flags().StringVar(&listen, "listen", "", "the address of its fleet listener")
	command.Flags().StringSliceVar(&oldAddresses, "old", nil, "the addresses of the fleet listeners of all old voters")
	for _, flag := range []string{"seat", "name", "listen", "old"} {
		_ = command.MarkFlagRequired(flag)
	}
	return command
}
