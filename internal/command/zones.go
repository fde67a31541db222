package command

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os/user"
	"slices"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/failover"
	"brassdale/internal/fleet"
)

// zonesCommand shows where zones' jobs are served, and holds zones.
func zonesCommand() *cobra.Command {
	f := &allies{}
	var force bool
	c := &cobra.Command{Use: "zones", Short: "Where the jobs of each zone are served, and why"}
	c.PersistentFlags().StringVar(&f.address, "address", "127.0.0.1:7400", "the council's address of any dispatcher of the fleet")
	c.PersistentFlags().BoolVar(&f.asJSON, "json", false, "as JSON")
	hold := func(c *cobra.Command, zone string, share float64) error {
		by := "unknown"
		if u, err := user.Current(); err == nil {
			by = u.Username
		}
		text, err := json.Marshal(configversions.ZoneLimit{Zone: zone, Share: share, By: by, Reason: f.why, Force: force})
		if err != nil {
			return err
		}
		var got struct{ Why string }
		if err := f.ask(c.Context(), "hold", text, &got); err != nil {
			return err
		}
		fmt.Fprintln(c.OutOrStdout(), got.Why)
		return nil
	}
	holds := &cobra.Command{Use: "hold ZONE SHARE", Short: "Plan with a share of a zone's capacity only", Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			share, err := strconv.ParseFloat(args[1], 64)
			if err != nil || !(share >= 0 && share <= 1) {
				return fmt.Errorf("%q is no share from 0 to 1", args[1])
			}
			return hold(c, args[0], share)
		}}
	drain := &cobra.Command{Use: "drain ZONE", Short: "Plan nothing into a zone; refused where there is no room elsewhere", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return hold(c, args[0], 0) }}
	back := &cobra.Command{Use: "return ZONE", Short: "Plan with all of a zone's capacity again", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return hold(c, args[0], 1) }}
	for _, sub := range []*cobra.Command{holds, drain} {
		sub.Flags().BoolVar(&force, "force", false, "though there is no room elsewhere: kept with your name and the reason")
	}
	explain := f.show("explain", "", nil)
	explain.Use, explain.Short, explain.Args = "explain ZONE", "Why a zone's shares stand where they do", cobra.ExactArgs(1)
	explain.RunE = func(c *cobra.Command, args []string) error {
		s, err := f.status(c.Context())
		if err != nil {
			return err
		}
		return explainZone(c.OutOrStdout(), s, args[0])
	}
	c.AddCommand(f.show("status", "The zones, as the leader plans them (ask the leader)", zonesTable), f.show("plan", "The plan in force", planTable), explain,
		f.change(holds), f.change(drain), f.change(back))
	return c
}

func zonesTable(w io.Writer, s fleet.Status) {
	fmt.Fprint(w, "zone\tregion\tcapacity\tplanned\tasked\tshed\tfactor\tout from\twhy\n")
	for _, v := range s.Zones {
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t%s\t%s\n", v.Zone, v.Region, v.Capacity, v.Planned, v.Demand, v.Shed, v.CapacityFactor, strings.Join(v.UnreachableFrom, ","), v.Reason)
	}
	for _, h := range s.Record.ZoneLimits {
		fmt.Fprintf(w, "held: %s at %g by %s: %s\n", h.Zone, h.Share, h.By, h.Reason)
	}
}

func planTable(w io.Writer, s fleet.Status) {
	p := s.Record.Plan
	if p == nil {
		fmt.Fprintln(w, "no plan yet: every zone serves its own")
		return
	}
	fmt.Fprintf(w, "plan %d\nfrom\tclass\tserved in\n", p.Number)
	for _, zone := range slices.Sorted(maps.Keys(p.Shares)) {
		for _, class := range slices.Sorted(maps.Keys(p.Shares[zone])) {
			fmt.Fprintf(w, "%s\t%s\t%s\n", zone, class, partsText(p.Shares[zone][class]))
		}
	}
}

func partsText(parts []failover.ZoneShare) string {
	var all []string
	sum := 0.0
	for _, part := range parts {
		all = append(all, fmt.Sprintf("%s %.2f", part.Zone, part.Share))
		sum += part.Share
	}
	if sum < 0.995 {
		all = append(all, fmt.Sprintf("shed %.2f", 1-sum))
	}
	return strings.Join(all, ", ")
}

// explainZone says what a zone's entry rests on.
func explainZone(w io.Writer, s fleet.Status, zone string) error {
	p := s.Record.Plan
	if p == nil {
		return errors.New("no plan yet: every zone serves its own")
	}
	known := false
	for _, class := range slices.Sorted(maps.Keys(p.Shares[zone])) {
		known = true
		fmt.Fprintf(w, "%s of %s: %s\n", class, zone, partsText(p.Shares[zone][class]))
	}
	if why := p.Reasons[zone]; why != "" {
		known = true
		fmt.Fprintf(w, "why: %s\n", why)
	}
	for _, h := range s.Record.ZoneLimits {
		if h.Zone == zone {
			known = true
			fmt.Fprintf(w, "held at %g by %s: %s\n", h.Share, h.By, cmp.Or(h.Reason, "-"))
		}
	}
	for _, v := range s.Zones {
		if v.Zone == zone {
			known = true
			fmt.Fprintf(w, "capacity %.1f slots (its times bear out %.2f of it), planned %.1f, asked for there %.1f, out from %v\n", v.Capacity, v.CapacityFactor, v.Planned, v.Demand, v.UnreachableFrom)
		}
	}
	if !known {
		return fmt.Errorf("nothing is planned of a zone %q", zone)
	}
	if s.PlanExpired {
		fmt.Fprintln(w, "this dispatcher has been cut off for too long: it serves its own zone only")
	}
	return nil
}
