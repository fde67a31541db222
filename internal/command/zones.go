package command

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/failover"
	"brassdale/internal/fleet"
)

// zonesCommand makes 'brassdale zones': where the jobs of each zone are served, and limits on zones.
func zonesCommand() *cobra.Command {
	client := &fleetClient{}
	var force bool
	command := &cobra.Command{Use: "zones", Short: "Where the jobs of each zone are served, and why"}
	command.PersistentFlags().StringVar(&client.address, "address", "127.0.0.1:7400", "the council's address of any dispatcher of the fleet")
	command.PersistentFlags().BoolVar(&client.asJSON, "json", false, "as JSON")
	setLimit := func(command *cobra.Command, zone string, share float64) error {
		text, err := json.Marshal(configversions.ZoneLimit{Zone: zone, Share: share, By: userName(), Reason: client.reason, Force: force})
		if err != nil {
			return err
		}
		var got struct{ Why string }
		if err := client.call(command.Context(), "hold", text, &got); err != nil {
			return err
		}
		fmt.Fprintln(command.OutOrStdout(), got.Why)
		return nil
	}
	limitCommand := &cobra.Command{Use: "hold ZONE SHARE", Short: "Plan with a share of a zone's capacity only", Args: cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			share, err := strconv.ParseFloat(args[1], 64)
			if err != nil || !(share >= 0 && share <= 1) {
				return fmt.Errorf("%q is no share from 0 to 1", args[1])
			}
			return setLimit(command, args[0], share)
		}}
	drain := &cobra.Command{Use: "drain ZONE", Short: "Plan nothing into a zone; refused where there is no room elsewhere", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error { return setLimit(command, args[0], 0) }}
	back := &cobra.Command{Use: "return ZONE", Short: "Plan with all of a zone's capacity again", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error { return setLimit(command, args[0], 1) }}
	for _, sub := range []*cobra.Command{limitCommand, drain} {
		sub.Flags().BoolVar(&force, "force", false, "though there is no room elsewhere: kept with your name and the reason")
	}
	explain := client.statusCommand("explain", "", nil)
	explain.Use, explain.Short, explain.Args = "explain ZONE", "Why a zone's shares stand where they do", cobra.ExactArgs(1)
	explain.RunE = func(command *cobra.Command, args []string) error {
		s, err := client.status(command.Context())
		if err != nil {
			return err
		}
		return explainZone(command.OutOrStdout(), s, args[0])
	}
	command.AddCommand(client.statusCommand("status", "The zones, as the leader plans them (ask the leader)", zonesTable), client.statusCommand("plan", "The plan in force", planTable), explain,
		client.withReason(limitCommand), client.withReason(drain), client.withReason(back))
	return command
}

// zonesTable writes the zones as the leader plans them, and the limits that people set.
func zonesTable(out io.Writer, status fleet.Status) {
	fmt.Fprint(out, "zone\tregion\tcapacity\tplanned\tasked\tshed\tfactor\tout from\twhy\n")
	for _, zone := range status.Zones {
		fmt.Fprintf(out, "%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%s\t%s\n", zone.Zone, zone.Region, zone.Capacity, zone.Planned, zone.Demand, zone.Shed, zone.CapacityFactor, strings.Join(zone.UnreachableFrom, ","), zone.Reason)
	}
	for _, limit := range status.Record.ZoneLimits {
		fmt.Fprintf(out, "held: %s at %g by %s: %s\n", limit.Zone, limit.Share, limit.By, limit.Reason)
	}
}

// planTable writes the plan in force.
func planTable(out io.Writer, status fleet.Status) {
	plan := status.Record.Plan
	if plan == nil {
		fmt.Fprintln(out, "no plan yet: every zone serves its own")
		return
	}
	fmt.Fprintf(out, "plan %d\nfrom\tclass\tserved in\n", plan.Number)
	for _, zone := range slices.Sorted(maps.Keys(plan.Shares)) {
		for _, class := range slices.Sorted(maps.Keys(plan.Shares[zone])) {
			fmt.Fprintf(out, "%s\t%s\t%s\n", zone, class, sharesText(plan.Shares[zone][class]))
		}
	}
}

// sharesText returns shares as text, with what is shed.
func sharesText(shares []failover.ZoneShare) string {
	var texts []string
	sum := 0.0
	for _, share := range shares {
		texts = append(texts, fmt.Sprintf("%s %.2f", share.Zone, share.Share))
		sum += share.Share
	}
	if sum < 0.995 {
		texts = append(texts, fmt.Sprintf("shed %.2f", 1-sum))
	}
	return strings.Join(texts, ", ")
}

// explainZone writes what a zone's part of the plan rests on. It is an error if nothing is planned of the zone.
func explainZone(out io.Writer, status fleet.Status, zone string) error {
	plan := status.Record.Plan
	if plan == nil {
		return errors.New("no plan yet: every zone serves its own")
	}
	known := false
	for _, class := range slices.Sorted(maps.Keys(plan.Shares[zone])) {
		known = true
		fmt.Fprintf(out, "%s of %s: %s\n", class, zone, sharesText(plan.Shares[zone][class]))
	}
	if why := plan.Reasons[zone]; why != "" {
		known = true
		fmt.Fprintf(out, "why: %s\n", why)
	}
	for _, limit := range status.Record.ZoneLimits {
		if limit.Zone == zone {
			known = true
			fmt.Fprintf(out, "held at %g by %s: %s\n", limit.Share, limit.By, cmp.Or(limit.Reason, "-"))
		}
	}
	for _, view := range status.Zones {
		if view.Zone == zone {
			known = true
			fmt.Fprintf(out, "capacity %.1f slots (its times bear out %.2f of it), planned %.1f, asked for there %.1f, out from %v\n", view.Capacity, view.CapacityFactor, view.Planned, view.Demand, view.UnreachableFrom)
		}
	}
	if !known {
		return fmt.Errorf("nothing is planned of a zone %q", zone)
	}
	if status.PlanExpired {
		fmt.Fprintln(out, "this dispatcher has been cut off for too long: it serves its own zone only")
	}
	return nil
}
