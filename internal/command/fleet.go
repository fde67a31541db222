package command

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"brassdale/internal/decisions/voters"
	"brassdale/internal/fleet"
)

// fleetCommand makes 'brassdale fleet', which shows the config that a fleet has agreed on and proposes changes to it.
func fleetCommand() *cobra.Command {
	client := &fleetClient{}
	command := &cobra.Command{Use: "fleet", Short: "Show and change the config that the dispatchers of a fleet agree on"}
	command.PersistentFlags().StringVar(&client.address, "address", "127.0.0.1:7400", "the address of any dispatcher's fleet listener")
	command.PersistentFlags().BoolVar(&client.asJSON, "json", false, "print JSON")
	command.AddCommand(
		client.statusCommand("status", "Show the config versions, the leader and this dispatcher's lease", statusTable),
		client.membersCommand(),
		client.statusCommand("council", "Show the voters of the raft group, as the leader sees them (ask the leader)", votersTable),
		client.historyCommand(),
		client.diffCommand(),
		client.watchCommand(),
		client.recoverCommand(),
		client.withReason(client.proposeCommand()),
		client.withReason(client.rollbackCommand()),
		client.withReason(client.detachCommand("detach", true)),
		client.withReason(client.detachCommand("attach", false)),
	)
	return command
}

// statusTable writes what the dispatcher applies, its lease, and the version that is announced.
func statusTable(out io.Writer, status fleet.Status) {
	fmt.Fprintf(out, "fleet\t%s\ndispatcher\t%s\nseat\t%d\nleader's seat\t%d\nera\t%d\nacting on\t%v\nlapsed\t%t\nlease left\t%d ms\nin force\t%d\n", status.Fleet, status.Name,
		status.VoterID, status.Leader, status.Record.Epoch, status.EffectiveVersions, status.LeaseExpired, status.LeaseLeftMS, status.Record.InForce.Number)
	if v := status.Record.Announced; v != nil {
		fmt.Fprintf(out, "announced\t%d by %s: %s\nwaits for\t%v\n", v.Number, v.By, v.Reason, status.WaitingFor)
		if t := v.Canary; t != nil {
			fmt.Fprintf(out, "tried by\t%g of the dispatchers, for %v, margin %g\n", t.Share, t.MinDuration, t.FailureMargin)
		}
	}
}

// votersTable writes the voters as the leader sees them. A dispatcher that does not lead has only the voters of the record.
func votersTable(out io.Writer, status fleet.Status) {
	fmt.Fprint(out, "seat\tdispatcher\taddress\tregion\tzone\tvotes\tsilent\tbehind\n")
	voterStatuses := status.Voters
	if voterStatuses == nil { // the status is not the leader's
		for _, voter := range status.Record.Voters {
			voterStatuses = append(voterStatuses, voters.Status{Voter: voter})
		}
	}
	for _, voter := range voterStatuses {
		fmt.Fprintf(out, "%d\t%s\t%s\t%s\t%s\t%t\t%v\t%d\n", voter.ID, voter.Name, voter.Address, voter.Region, voter.Zone, !voter.Learner, voter.SilentFor, voter.EntriesBehind)
	}
}
