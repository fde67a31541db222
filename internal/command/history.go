package command

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"brassdale/internal/decisions/configversions"
)

// historyCommand makes 'brassdale fleet history'.
func (client *fleetClient) historyCommand() *cobra.Command {
	return &cobra.Command{Use: "history", Short: "Show the versions that were in force and the withdrawn ones", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			record, err := client.record(command.Context())
			if err != nil {
				return err
			}
			return client.printOutput(command, record, func(w io.Writer) { historyTable(w, record) })
		}}
}

// historyTable writes the versions that were in force earlier, the withdrawn versions, and the version in force now.
func historyTable(out io.Writer, record configversions.Record) {
	fmt.Fprint(out, "version\tretries\trepeat\tout\tshares\tby\twhy\tat\tended\n")
	row := func(version configversions.Version, ended string) {
		rules := version.Rules
		fmt.Fprintf(out, "%d\t%g\t%t\t%v\t%v\t%s\t%s\t%s\t%s\n", version.Number, rules.RetryRatio, rules.RetriesAllowed, rules.DetachedWorkers, rules.QuotaCaps,
			version.By, version.Reason, version.At.Format(time.RFC3339), ended)
	}
	for _, version := range record.History {
		row(version, "followed")
	}
	for _, withdrawal := range record.Withdrawn {
		row(withdrawal.Version, "withdrawn: "+withdrawal.Reason)
	}
	row(record.InForce, "in force")
}

// rollbackCommand makes 'brassdale fleet rollback'.
func (client *fleetClient) rollbackCommand() *cobra.Command {
	return &cobra.Command{Use: "rollback", Short: "Announce the rules of the version that was in force before", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			record, err := client.record(command.Context())
			if err != nil {
				return err
			}
			for _, version := range slices.Backward(record.History) {
				if version.Number > 0 {
					return client.announceRules(command, record.InForce.Number, version.Rules, nil)
				}
			}
			return errors.New("no version was in force before")
		}}
}

// diffCommand makes 'brassdale fleet diff', which shows what changed between two versions, by default the last two.
func (client *fleetClient) diffCommand() *cobra.Command {
	return &cobra.Command{Use: "diff [FROM [TO]]", Short: "Show what changed between two versions (the last two if left out)", Args: cobra.MaximumNArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			record, err := client.record(command.Context())
			if err != nil {
				return err
			}
			versions := append(slices.Clone(record.History), record.InForce)
			from, err := versionArgument(versions, args, 0, len(versions)-2)
			if err != nil {
				return err
			}
			to, err := versionArgument(versions, args, 1, len(versions)-1)
			if err != nil {
				return err
			}
			for _, line := range differences(from.Rules, to.Rules) {
				fmt.Fprintln(command.OutOrStdout(), line)
			}
			return nil
		}}
}

// versionArgument returns the version whose number the argument at an index gives, or versions[byDefault] if there is no such argument.
func versionArgument(versions []configversions.Version, args []string, argument, byDefault int) (configversions.Version, error) {
	if argument >= len(args) {
		if byDefault < 0 {
			return configversions.Version{}, errors.New("no version was in force before")
		}
		return versions[byDefault], nil
	}
	number, err := strconv.ParseUint(args[argument], 10, 64)
	i := slices.IndexFunc(versions, func(v configversions.Version) bool { return err == nil && v.Number == number })
	if i < 0 {
		return configversions.Version{}, fmt.Errorf("version %s is not in the kept history", args[argument])
	}
	return versions[i], nil
}

// differences returns a line for each rule that differs.
func differences(before, after configversions.Rules) (lines []string) {
	if before.RetryRatio != after.RetryRatio {
		lines = append(lines, fmt.Sprintf("retries %g -> %g", before.RetryRatio, after.RetryRatio))
	}
	if before.RetriesAllowed != after.RetriesAllowed {
		lines = append(lines, fmt.Sprintf("repeat %t -> %t", before.RetriesAllowed, after.RetriesAllowed))
	}
	for _, id := range after.DetachedWorkers {
		if !slices.Contains(before.DetachedWorkers, id) {
			lines = append(lines, "out + "+id)
		}
	}
	for _, id := range before.DetachedWorkers {
		if !slices.Contains(after.DetachedWorkers, id) {
			lines = append(lines, "out - "+id)
		}
	}
	return append(lines, quotaDifferences(before.QuotaCaps, after.QuotaCaps)...)
}

// quotaDifferences returns a line for each account whose quota differs.
func quotaDifferences(before, after map[string]float64) (lines []string) {
	names := maps.Clone(before)
	if names == nil {
		names = map[string]float64{}
	}
	maps.Copy(names, after)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		oldShare, hadQuota := before[name]
		newShare, hasQuota := after[name]
		switch {
		case !hadQuota:
			lines = append(lines, fmt.Sprintf("shares + %s %g", name, newShare))
		case !hasQuota:
			lines = append(lines, fmt.Sprintf("shares - %s %g", name, oldShare))
		case oldShare != newShare:
			lines = append(lines, fmt.Sprintf("shares %s %g -> %g", name, oldShare, newShare))
		}
	}
	return lines
}
