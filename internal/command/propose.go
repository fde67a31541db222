package command

import (
	"encoding/json"
	"fmt"
	"os/user"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"brassdale/internal/decisions/canary"
	"brassdale/internal/decisions/configversions"
	"brassdale/internal/fleet"
)

// withReason adds the required flag for the reason to a command that proposes a change.
func (client *fleetClient) withReason(command *cobra.Command) *cobra.Command {
	command.Flags().StringVar(&client.reason, "why", "", "the reason, kept with the change")
	_ = command.MarkFlagRequired("why")
	return command
}

// announceRules proposes rules for the version after the one with the number base, and prints the new version's number. It proposes a
// canary unless rollout is nil.
func (client *fleetClient) announceRules(command *cobra.Command, base uint64, rules configversions.Rules, rollout *canary.Rollout) error {
	version := configversions.Version{Number: base, Rules: rules, By: userName(), Reason: client.reason, At: time.Now().UTC(), Canary: rollout}
	text, err := json.Marshal(version)
	if err != nil {
		return err
	}
	var got struct{ Record configversions.Record }
	if err := client.call(command.Context(), "propose", text, &got); err != nil {
		return err
	}
	if got.Record.Announced == nil { // in a fleet of one dispatcher it may be in force already
		fmt.Fprintf(command.OutOrStdout(), "announced: version %d\n", base+1)
		return nil
	}
	fmt.Fprintf(command.OutOrStdout(), "announced: version %d\n", got.Record.Announced.Number)
	return nil
}

// proposeCommand makes 'brassdale fleet propose'.
func (client *fleetClient) proposeCommand() *cobra.Command {
	var share string
	var minDuration time.Duration
	var margin float64
	command := &cobra.Command{Use: "propose FILE", Short: "Announce the rules in a file as the next version", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			rules, err := fleet.LoadRules(args[0])
			if err != nil {
				return err
			}
			var rollout *canary.Rollout
			if share != "" {
				if rollout, err = parseRollout(share, minDuration, margin); err != nil {
					return err
				}
			}
			status, err := client.status(command.Context())
			if err != nil {
				return err
			}
			return client.announceRules(command, status.Record.InForce.Number, *rules, rollout)
		}}
	command.Flags().StringVar(&share, "stage", "", `the share of the dispatchers that apply the version first (the canary), such as "10%"; all at once if left out`)
	command.Flags().DurationVar(&minDuration, "for", time.Minute, "the minimum duration of the canary")
	command.Flags().Float64Var(&margin, "margin", 0.02, "withdraw the version if the canary's rate of rejected or failed jobs exceeds the others' by more than this")
	return command
}

// detachCommand makes a command that detaches a worker at all dispatchers of the fleet, or reattaches it.
func (client *fleetClient) detachCommand(use string, detach bool) *cobra.Command {
	short := map[bool]string{true: "Detach a worker: announce that no dispatcher sends it jobs", false: "Reattach a worker: announce that dispatchers send it jobs again"}[detach]
	return &cobra.Command{Use: use + " BOX", Short: short, Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			status, err := client.status(command.Context())
			if err != nil {
				return err
			}
			rules := status.Record.InForce.Rules
			if status.Record.InForce.Number == 0 {
				rules = configversions.Rules{RetryRatio: -1, RetriesAllowed: true}
			}
			detached := slices.Contains(rules.DetachedWorkers, args[0])
			if detached == detach {
				return fmt.Errorf("worker %s is in this state already", args[0])
			}
			rules.DetachedWorkers = slices.DeleteFunc(slices.Clone(rules.DetachedWorkers), func(id string) bool { return id == args[0] })
			if detach {
				rules.DetachedWorkers = append(rules.DetachedWorkers, args[0])
			}
			return client.announceRules(command, status.Record.InForce.Number, rules, nil)
		}}
}

// parseRollout returns the canary that the flags of 'propose' describe; share is a percentage such as "10%".
func parseRollout(share string, minDuration time.Duration, margin float64) (*canary.Rollout, error) {
	percent, err := strconv.ParseFloat(strings.TrimSuffix(share, "%"), 64)
	if err != nil || !strings.HasSuffix(share, "%") {
		return nil, fmt.Errorf(`--stage: expected a percentage such as "10%%", got %q`, share)
	}
	rollout := &canary.Rollout{Share: percent / 100, MinDuration: minDuration, FailureMargin: margin}
	return rollout, rollout.Check()
}

// userName returns the name of the user who runs the command; it is recorded with a change.
func userName() string {
	if current, err := user.Current(); err == nil {
		return current.Username
	}
	return "unknown"
}
