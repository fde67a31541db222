package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os/user"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"brassdale/internal/decisions/canary"
	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/voters"
	"brassdale/internal/fleet"
	councillog "brassdale/internal/fleet/raftlog"
)

// answerWithin is how long a dispatcher has for a question of this command.
const answerWithin = 5 * time.Second

// allies is what the sub-commands of 'fleet' share.
type allies struct {
	address, why string
	asJSON       bool
}

// fleetCommand asks a dispatcher of a fleet, and proposes rules.
func fleetCommand() *cobra.Command {
	f := &allies{}
	c := &cobra.Command{Use: "fleet", Short: "What the dispatchers of a fleet agree on, and changes of it"}
	c.PersistentFlags().StringVar(&f.address, "address", "127.0.0.1:7400", "the council's address of any dispatcher of the fleet")
	c.PersistentFlags().BoolVar(&f.asJSON, "json", false, "as JSON")
	c.AddCommand(
		f.show("status", "Versions, who leads, who holds leases", statusTable),
		f.members(),
		f.show("council", "The council's seats, as the leader sees them (ask the leader)", councilTable),
		f.history(),
		f.diff(), f.watch(), f.recover(),
		f.change(f.propose()), f.change(f.rollback()), f.change(f.out("detach", true)), f.change(f.out("attach", false)),
	)
	return c
}

// record is all that was agreed on, with what was, as a seat has it.
func (f *allies) record(ctx context.Context) (configversions.Record, error) {
	var got struct{ Record configversions.Record }
	err := f.ask(ctx, "record", nil, &got)
	return got.Record, err
}

func (f *allies) status(ctx context.Context) (s fleet.Status, err error) {
	err = f.ask(ctx, "status", nil, &s)
	return s, err
}

// show makes a command that prints the status, as a table or as JSON.
func (f *allies) show(use, short string, table func(io.Writer, fleet.Status)) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
		s, err := f.status(c.Context())
		if err != nil {
			return err
		}
		return f.print(c, s, func(w io.Writer) { table(w, s) })
	}}
}

// print prints what was asked for, as JSON or as a table.
func (f *allies) print(c *cobra.Command, what any, table func(io.Writer)) error {
	if f.asJSON {
		e := json.NewEncoder(c.OutOrStdout())
		e.SetIndent("", "  ")
		return e.Encode(what)
	}
	w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

func statusTable(w io.Writer, s fleet.Status) {
	fmt.Fprintf(w, "fleet\t%s\ndispatcher\t%s\nseat\t%d\nleader's seat\t%d\nera\t%d\nacting on\t%v\nlapsed\t%t\nlease left\t%d ms\nin force\t%d\n", s.Fleet, s.Name,
		s.VoterID, s.Leader, s.Record.Epoch, s.EffectiveVersions, s.LeaseExpired, s.LeaseLeftMS, s.Record.InForce.Number)
	if v := s.Record.Announced; v != nil {
		fmt.Fprintf(w, "announced\t%d by %s: %s\nwaits for\t%v\n", v.Number, v.By, v.Reason, s.WaitingFor)
		if t := v.Canary; t != nil {
			fmt.Fprintf(w, "tried by\t%g of the dispatchers, for %v, margin %g\n", t.Share, t.MinDuration, t.FailureMargin)
		}
	}
}

// memberOf is a dispatcher of a fleet, by all that is known of it.
type memberOf struct {
	configversions.Dispatcher
	Gossip string // what its neighbour that was asked knows of it; "-" of other zones
	Lease  string
}

// members lists who holds a lease or held one lately, as the leader knows, and the neighbours of the dispatcher that is asked,
// by gossip. Where no leader is reached it lists the neighbours alone, and says so.
func (f *allies) members() *cobra.Command {
	return &cobra.Command{Use: "members", Short: "Who is there: by leases, as the leader knows, and by gossip, the neighbours of the one that is asked", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := f.status(c.Context())
			if err != nil {
				return err
			}
			var known struct {
				Present []configversions.Dispatcher
				Absent  []configversions.AbsentDispatcher
			}
			if err := f.ask(c.Context(), "known", nil, &known); err != nil {
				fmt.Fprintf(c.ErrOrStderr(), "nobody leads, so these are neighbours alone: %v\n", err)
			}
			all := map[string]memberOf{}
			for _, m := range s.Members {
				all[m.Name] = memberOf{configversions.Dispatcher{Name: m.Name, Address: m.Address, Region: m.Region, Zone: m.Zone, VoterID: m.VoterID, MessageFormat: m.MessageFormat}, string(m.State), "-"}
			}
			gossip := func(name string) string {
				if m, ok := all[name]; ok {
					return m.Gossip
				}
				return "-"
			}
			for _, a := range known.Absent {
				lease := fmt.Sprintf("ran out %v ago", a.AbsentFor.Round(time.Second))
				if a.Left {
					lease = fmt.Sprintf("left %v ago", a.AbsentFor.Round(time.Second))
				}
				all[a.Name] = memberOf{a.Dispatcher, gossip(a.Name), lease}
			}
			for _, m := range known.Present {
				all[m.Name] = memberOf{m, gossip(m.Name), fmt.Sprint("acknowledged ", m.AcknowledgedVersion)}
			}
			var rows []memberOf
			for _, name := range slices.Sorted(maps.Keys(all)) {
				rows = append(rows, all[name])
			}
			return f.print(c, rows, func(w io.Writer) {
				fmt.Fprint(w, "dispatcher\tgossip\tregion\tzone\taddress\tseat\tform\tlease\n")
				for _, m := range rows {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", m.Name, m.Gossip, m.Region, m.Zone, m.Address, m.VoterID, m.MessageFormat, m.Lease)
				}
			})
		}}
}

func councilTable(w io.Writer, s fleet.Status) {
	fmt.Fprint(w, "seat\tdispatcher\taddress\tregion\tzone\tvotes\tsilent\tbehind\n")
	places := s.Voters
	if places == nil { // not asked at the leader
		for _, seat := range s.Record.Voters {
			places = append(places, voters.Status{Voter: seat})
		}
	}
	for _, p := range places {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%t\t%v\t%d\n", p.ID, p.Name, p.Address, p.Region, p.Zone, !p.Learner, p.SilentFor, p.EntriesBehind)
	}
}

func (f *allies) history() *cobra.Command {
	return &cobra.Command{Use: "history", Short: "Versions that were in force, and those that were withdrawn", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r, err := f.record(c.Context())
			if err != nil {
				return err
			}
			return f.print(c, r, func(w io.Writer) { historyTable(w, r) })
		}}
}

func historyTable(w io.Writer, r configversions.Record) {
	fmt.Fprint(w, "version\tretries\trepeat\tout\tshares\tby\twhy\tat\tended\n")
	row := func(v configversions.Version, ended string) {
		fmt.Fprintf(w, "%d\t%g\t%t\t%v\t%v\t%s\t%s\t%s\t%s\n", v.Number, v.Rules.RetryRatio, v.Rules.RetriesAllowed, v.Rules.DetachedWorkers, v.Rules.Quotas, v.By, v.Reason, v.At.Format(time.RFC3339), ended)
	}
	for _, v := range r.History {
		row(v, "followed")
	}
	for _, x := range r.Withdrawn {
		row(x.Version, "withdrawn: "+x.Reason)
	}
	row(r.InForce, "in force")
}

// change gives a command that proposes something the flag for the reason.
func (f *allies) change(c *cobra.Command) *cobra.Command {
	c.Flags().StringVar(&f.why, "why", "", "the reason, kept with the version")
	_ = c.MarkFlagRequired("why")
	return c
}

// announce proposes rules to follow the version in force.
func (f *allies) announce(c *cobra.Command, base uint64, r configversions.Rules, t *canary.Rollout) error {
	by := "unknown"
	if u, err := user.Current(); err == nil {
		by = u.Username
	}
	text, err := json.Marshal(configversions.Version{Number: base, Rules: r, By: by, Reason: f.why, At: time.Now().UTC(), Canary: t})
	if err != nil {
		return err
	}
	var got struct{ Record configversions.Record }
	if err := f.ask(c.Context(), "propose", text, &got); err != nil {
		return err
	}
	if got.Record.Announced == nil { // a fleet of one may be that fast
		fmt.Fprintf(c.OutOrStdout(), "announced: version %d\n", base+1)
		return nil
	}
	fmt.Fprintf(c.OutOrStdout(), "announced: version %d\n", got.Record.Announced.Number)
	return nil
}

func (f *allies) propose() *cobra.Command {
	var stage string
	var span time.Duration
	var margin float64
	c := &cobra.Command{Use: "propose FILE", Short: "Announce the rules in a file, to follow the version in force", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			r, err := fleet.LoadRules(args[0])
			if err != nil {
				return err
			}
			var t *canary.Rollout
			if stage != "" {
				percent, err := strconv.ParseFloat(strings.TrimSuffix(stage, "%"), 64)
				if err != nil || !strings.HasSuffix(stage, "%") {
					return fmt.Errorf(`--stage: %q is no share such as "10%%"`, stage)
				}
				t = &canary.Rollout{Share: percent / 100, MinDuration: span, FailureMargin: margin}
				if err := t.Check(); err != nil {
					return err
				}
			}
			s, err := f.status(c.Context())
			if err != nil {
				return err
			}
			return f.announce(c, s.Record.InForce.Number, *r, t)
		}}
	c.Flags().StringVar(&stage, "stage", "", `the part of the dispatchers that keeps to it first, such as "10%"; all at once where left out`)
	c.Flags().DurationVar(&span, "for", time.Minute, "how long that part does")
	c.Flags().Float64Var(&margin, "margin", 0.02, "it is withdrawn where the part of jobs refused or failed there is above the others' by more")
	return c
}

func (f *allies) rollback() *cobra.Command {
	return &cobra.Command{Use: "rollback", Short: "Announce the rules that were in force before", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r, err := f.record(c.Context())
			if err != nil {
				return err
			}
			for _, v := range slices.Backward(r.History) {
				if v.Number > 0 {
					return f.announce(c, r.InForce.Number, v.Rules, nil)
				}
			}
			return errors.New("no version was in force before")
		}}
}

// out takes a box out of the whole fleet, or puts it back.
func (f *allies) out(use string, out bool) *cobra.Command {
	short := map[bool]string{true: "Announce that a box gets nothing at any dispatcher", false: "Announce that it does again"}[out]
	return &cobra.Command{Use: use + " BOX", Short: short, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := f.status(c.Context())
			if err != nil {
				return err
			}
			r := s.Record.InForce.Rules
			if s.Record.InForce.Number == 0 {
				r = configversions.Rules{RetryRatio: -1, RetriesAllowed: true}
			}
			has := slices.Contains(r.DetachedWorkers, args[0])
			if has == out {
				return fmt.Errorf("%s is so already", args[0])
			}
			r.DetachedWorkers = slices.DeleteFunc(slices.Clone(r.DetachedWorkers), func(id string) bool { return id == args[0] })
			if out {
				r.DetachedWorkers = append(r.DetachedWorkers, args[0])
			}
			return f.announce(c, s.Record.InForce.Number, r, nil)
		}}
}

// diff shows what changed between two versions.
func (f *allies) diff() *cobra.Command {
	return &cobra.Command{Use: "diff [FROM [TO]]", Short: "What changed between two versions; the last two where left out", Args: cobra.MaximumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			r, err := f.record(c.Context())
			if err != nil {
				return err
			}
			all := append(slices.Clone(r.History), r.InForce)
			pick := func(n, usual int) (configversions.Version, error) {
				if n >= len(args) {
					if usual < 0 {
						return configversions.Version{}, errors.New("no version was in force before")
					}
					return all[usual], nil
				}
				number, err := strconv.ParseUint(args[n], 10, 64)
				i := slices.IndexFunc(all, func(v configversions.Version) bool { return err == nil && v.Number == number })
				if i < 0 {
					return configversions.Version{}, fmt.Errorf("no version %s was in force, as far as is kept", args[n])
				}
				return all[i], nil
			}
			from, err := pick(0, len(all)-2)
			if err != nil {
				return err
			}
			to, err := pick(1, len(all)-1)
			if err != nil {
				return err
			}
			for _, line := range differences(from.Rules, to.Rules) {
				fmt.Fprintln(c.OutOrStdout(), line)
			}
			return nil
		}}
}

// differences gives a line for each that there is.
func differences(a, b configversions.Rules) (lines []string) {
	if a.RetryRatio != b.RetryRatio {
		lines = append(lines, fmt.Sprintf("retries %g -> %g", a.RetryRatio, b.RetryRatio))
	}
	if a.RetriesAllowed != b.RetriesAllowed {
		lines = append(lines, fmt.Sprintf("repeat %t -> %t", a.RetriesAllowed, b.RetriesAllowed))
	}
	for _, id := range b.DetachedWorkers {
		if !slices.Contains(a.DetachedWorkers, id) {
			lines = append(lines, "out + "+id)
		}
	}
	for _, id := range a.DetachedWorkers {
		if !slices.Contains(b.DetachedWorkers, id) {
			lines = append(lines, "out - "+id)
		}
	}
	names := maps.Clone(a.Quotas)
	if names == nil {
		names = map[string]float64{}
	}
	maps.Copy(names, b.Quotas)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		was, had := a.Quotas[name]
		is, has := b.Quotas[name]
		switch {
		case !had:
			lines = append(lines, fmt.Sprintf("shares + %s %g", name, is))
		case !has:
			lines = append(lines, fmt.Sprintf("shares - %s %g", name, was))
		case was != is:
			lines = append(lines, fmt.Sprintf("shares %s %g -> %g", name, was, is))
		}
	}
	return lines
}

// watch prints what changes, until it is interrupted.
func (f *allies) watch() *cobra.Command {
	return &cobra.Command{Use: "watch", Short: "Print what a dispatcher acts on, at each change", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			last := ""
			for c.Context().Err() == nil {
				s, err := f.status(c.Context())
				text := ""
				if err != nil {
					text = err.Error()
				} else {
					text = fmt.Sprintf("acting on %v lapsed %t, in force %d, leader's seat %d, era %d", s.EffectiveVersions, s.LeaseExpired, s.Record.InForce.Number, s.Leader, s.Record.Epoch)
					if v := s.Record.Announced; v != nil {
						text += fmt.Sprintf(", announced %d, waits for %v", v.Number, s.WaitingFor)
					}
				}
				if text != last {
					fmt.Fprintf(c.OutOrStdout(), "%s %s\n", time.Now().Format(time.TimeOnly), text)
					last = text
				}
				select {
				case <-c.Context().Done():
				case <-time.After(200 * time.Millisecond):
				}
			}
			return nil
		}}
}

// recover makes a council of one seat out of a file, where the majority is gone for good.
func (f *allies) recover() *cobra.Command {
	var seat uint64
	var name, listen string
	var old []string
	c := &cobra.Command{Use: "recover DIRECTORY", Short: "Make a council of one out of a seat's file, where the majority is gone for good", Args: cobra.ExactArgs(1),
		Long: "Make a council of one seat out of what that seat has on file. Its dispatcher must be stopped, and so must all others that had\n" +
			"a seat: each of their addresses is asked, and the command refuses while one answers. Other dispatchers go on, and take seats\n" +
			"one after the other. Who hears of the new council is fenced against the old one by its era.",
		RunE: func(c *cobra.Command, args []string) error {
			for _, at := range old {
				status, _, err := fleet.Call(c.Context(), &http.Client{Transport: &http.Transport{}}, "http://"+at+"/council/status", nil, time.Now().Add(time.Second))
				if err == nil {
					return fmt.Errorf("%s still answers (%d): stop it first", at, status)
				}
			}
			r, err := councillog.Recover(args[0], seat, name, listen)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "era %d: a council of seat %d, version %d in force\n", r.Epoch, seat, r.InForce.Number)
			return nil
		}}
	c.Flags().Uint64Var(&seat, "seat", 0, "the seat whose file is in the directory")
	c.Flags().StringVar(&name, "name", "", "the name of its dispatcher")
	c.Flags().StringVar(&listen, "listen", "", "its council's address")
	c.Flags().StringSliceVar(&old, "old", nil, "the council's addresses of all that had a seat")
	for _, flag := range []string{"seat", "name", "listen", "old"} {
		_ = c.MarkFlagRequired(flag)
	}
	return c
}

// ask asks a dispatcher; a nil body gets.
func (f *allies) ask(ctx context.Context, what string, body []byte, to any) error {
	status, text, err := fleet.Call(ctx, &http.Client{Transport: &http.Transport{}}, "http://"+f.address+"/council/"+what, body, time.Now().Add(answerWithin))
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		var why struct{ Why string }
		_ = json.Unmarshal(text, &why)
		return fmt.Errorf("%d: %s", status, why.Why)
	}
	return json.Unmarshal(text, to)
}
