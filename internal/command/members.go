package command

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/fleet/gossip"
)

// fleetMember is a dispatcher of the fleet with its lease state and its gossip state. Field names without a tag are JSON keys.
type fleetMember struct {
	configversions.Dispatcher
	Gossip string // its state in the gossip of the dispatcher that was asked; "-" for other zones
	Lease  string // "ran out" (expired) or "left" (dropped at shutdown) and how long ago, or the version that it acknowledged
}

// membersCommand makes 'brassdale fleet members'. From the leader it lists the dispatchers that have a lease or had one within the hour.
// From the dispatcher that is asked it lists the gossip peers. Without the leader's list it prints a note and lists only the peers.
func (client *fleetClient) membersCommand() *cobra.Command {
	return &cobra.Command{Use: "members", Short: "Show the dispatchers by their leases at the leader, and by the gossip of the one that is asked", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			status, err := client.status(command.Context())
			if err != nil {
				return err
			}
			var known struct {
				Present []configversions.Dispatcher
				Absent  []configversions.AbsentDispatcher
			}
			if err := client.call(command.Context(), "known", nil, &known); err != nil {
				fmt.Fprintf(command.ErrOrStderr(), "the leader's list is not available, so only gossip peers are listed: %v\n", err)
			}
			all := mergeMembers(status.Members, known.Present, known.Absent)
			var rows []fleetMember
			for _, name := range slices.Sorted(maps.Keys(all)) {
				rows = append(rows, all[name])
			}
			return client.printOutput(command, rows, func(w io.Writer) {
				fmt.Fprint(w, "dispatcher\tgossip\tregion\tzone\taddress\tseat\tform\tlease\n")
				for _, member := range rows {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", member.Name, member.Gossip, member.Region, member.Zone, member.Address,
						member.VoterID, member.MessageFormat, member.Lease)
				}
			})
		}}
}

// mergeMembers returns all dispatchers by name: gossip peers, absent dispatchers (their lease has ended), and lease holders. A dispatcher
// in several groups gets the entry of the last one.
func mergeMembers(peers []gossip.Member, leaseHolders []configversions.Dispatcher, absent []configversions.AbsentDispatcher) map[string]fleetMember {
	all := map[string]fleetMember{}
	for _, peer := range peers {
		dispatcher := configversions.Dispatcher{
			Name: peer.Name, Address: peer.Address, Region: peer.Region, Zone: peer.Zone, VoterID: peer.VoterID, MessageFormat: peer.MessageFormat,
		}
		all[peer.Name] = fleetMember{dispatcher, string(peer.State), "-"}
	}
	gossipState := func(name string) string {
		if member, ok := all[name]; ok {
			return member.Gossip
		}
		return "-"
	}
	for _, dispatcher := range absent {
		lease := fmt.Sprintf("ran out %v ago", dispatcher.AbsentFor.Round(time.Second))
		if dispatcher.Left {
			lease = fmt.Sprintf("left %v ago", dispatcher.AbsentFor.Round(time.Second))
		}
		all[dispatcher.Name] = fleetMember{dispatcher.Dispatcher, gossipState(dispatcher.Name), lease}
	}
	for _, dispatcher := range leaseHolders {
		all[dispatcher.Name] = fleetMember{dispatcher, gossipState(dispatcher.Name), fmt.Sprint("acknowledged ", dispatcher.AcknowledgedVersion)}
	}
	return all
}
