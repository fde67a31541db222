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

// zonesCommand makes 'brassdale zones', which shows where the jobs of each zone are served, and sets zone limits.
func zonesCommand() *cobra.Command {
	client := &fleetClient{}
	var force bool
	command := &cobra.Command{Use: "zones", Short: "Show where and why the jobs of each zone are served, and set zone limits"}
	command.PersistentFlags().StringVar(&client.address, "address", "127.0.0.1:7400", "the address of any dispatcher's fleet listener")
	command.PersistentFlags().BoolVar(&client.asJSON, "json", false, "print JSON")
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
	limitCommand := &cobra.Command{Use: "hold ZONE SHARE", Short: "Set a zone limit: plan with only a share of the zone's capacity", Args: cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			share, err := strconv.ParseFloat(args[1], 64)
			if err != nil || !(share >= 0 && share <= 1) {
				return fmt.Errorf("expected a share from 0 to 1, got %q", args[1])
			}
			return setLimit(command, args[0], share)
		}}
	drain := &cobra.Command{Use: "drain ZONE", Short: "Plan no jobs into a zone; refused if the other zones lack capacity", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error { return setLimit(command, args[0], 0) }}
	removeLimit := &cobra.Command{Use: "return ZONE", Short: "End a zone limit: plan with all of the zone's capacity again", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error { return setLimit(command, args[0], 1) }}
	for _, sub := range []*cobra.Command{limitCommand, drain} {
		sub.Flags().BoolVar(&force, "force", false, "set the limit even if the other zones lack capacity; kept with your name and the reason")
	}
	explain := client.statusCommand("explain", "", nil)
	explain.Use, explain.Short, explain.Args = "explain ZONE", "Explain a zone's shares in the plan", cobra.ExactArgs(1)
	explain.RunE = func(command *cobra.Command, args []string) error {
		s, err := client.status(command.Context())
		if err != nil {
			return err
		}
		return explainZone(command.OutOrStdout(), s, args[0])
	}
	command.AddCommand(client.statusCommand("status", "Show the zones, as the leader plans them (ask the leader)", zonesTable), client.statusCommand("plan", "Show the plan in force", planTable), explain,
		client.withReason(limitCommand), client.withReason(drain), client.withReason(removeLimit))
	return command
}

// zonesTable writes the zones as the leader plans them, and the zone limits.
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
		fmt.Fprintln(out, "no plan yet: every zone serves its own jobs")
		return
	}
	fmt.Fprintf(out, "plan %d\nfrom\tclass\tserved in\n", plan.Number)
	for _, zone := range slices.Sorted(maps.Keys(plan.Shares)) {
		for _, class := range slices.Sorted(maps.Keys(plan.Shares[zone])) {
			fmt.Fprintf(out, "%s\t%s\t%s\n", zone, class, sharesText(plan.Shares[zone][class]))
		}
	}
}

// sharesText returns shares as text, and the share that is shed.
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

// explainZone writes a zone's shares in the plan, the reasons, its limits and its capacity. It returns an error if it finds none of these.
func explainZone(out io.Writer, status fleet.Status, zone string) error {
	plan := status.Record.Plan
	if plan == nil {
		return errors.New("no plan yet: every zone serves its own jobs")
	}
	found := false
	for _, class := range slices.Sorted(maps.Keys(plan.Shares[zone])) {
		found = true
		fmt.Fprintf(out, "%s of %s: %s\n", class, zone, sharesText(plan.Shares[zone][class]))
	}
	if why := plan.Reasons[zone]; why != "" {
		found = true
		fmt.Fprintf(out, "why: %s\n", why)
	}
	for _, limit := range status.Record.ZoneLimits {
		if limit.Zone == zone {
			found = true
			fmt.Fprintf(out, "limited to %g by %s: %s\n", limit.Share, limit.By, cmp.Or(limit.Reason, "-"))
		}
	}
	for _, view := range status.Zones {
		if view.Zone == zone {
			found = true
			fmt.Fprintf(out, "capacity %.1f slots (plans use %.2f of it, by the share of attempts in time), planned %.1f, demand %.1f, unreachable from %v\n", view.Capacity, view.CapacityFactor, view.Planned, view.Demand, view.UnreachableFrom)
		}
	}
	if !found {
		return fmt.Errorf("zone %q has no plan, limit or status", zone)
	}
	if status.PlanExpired {
		fmt.Fprintln(out, "the plan has expired, as this dispatcher has had no lease for too long: it serves its own zone only")
	}
	return nil
}
