package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/user"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/spf13/cobra"

	"brassdale/internal/decisions/agreement"
	"brassdale/internal/diag"
	"brassdale/internal/fleet"
)

// answerWithin is how long a dispatcher has for a question of this command.
const answerWithin = 5 * time.Second

// fleetCommand asks a dispatcher of a fleet, and proposes rules.
func fleetCommand() *cobra.Command {
	var address, why string
	var asJSON bool
	c := &cobra.Command{Use: "fleet", Short: "What the dispatchers of a fleet agree on, and changes of it"}
	c.PersistentFlags().StringVar(&address, "address", "127.0.0.1:7400", "the council's address of any dispatcher of the fleet")
	c.PersistentFlags().BoolVar(&asJSON, "json", false, "as JSON")
	status := func(c *cobra.Command) (s fleet.Status, err error) {
		err = ask(c.Context(), "http://"+address+"/council/status", nil, &s)
		return s, err
	}
	show := func(c *cobra.Command, table func(*tabwriter.Writer, fleet.Status)) error {
		s, err := status(c)
		if err != nil {
			return err
		}
		if asJSON {
			return encode(c.OutOrStdout(), s)
		}
		w := tabwriter.NewWriter(c.OutOrStdout(), 0, 4, 2, ' ', 0)
		table(w, s)
		return w.Flush()
	}
	propose := func(c *cobra.Command, base uint64, r agreement.Rules) error {
		by := "unknown"
		if u, err := user.Current(); err == nil {
			by = u.Username
		}
		text, err := json.Marshal(agreement.Version{Number: base, Rules: r, By: by, Why: why, At: time.Now().UTC()})
		if err != nil {
			return err
		}
		var got struct{ Record agreement.Record }
		if err := ask(c.Context(), "http://"+address+"/council/propose", text, &got); err != nil {
			return err
		}
		fmt.Fprintf(c.OutOrStdout(), "announced: version %d\n", got.Record.Announced.Number)
		return nil
	}
	c.AddCommand(
		&cobra.Command{Use: "status", Short: "Versions, who leads, who holds leases", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			return show(c, func(w *tabwriter.Writer, s fleet.Status) {
				fmt.Fprintf(w, "fleet\t%s\ndispatcher\t%s\nseat\t%d\nleader's seat\t%d\nacting on\t%v\nlapsed\t%t\nlease left\t%d ms\nin force\t%d\n", s.Fleet, s.Name,
					s.Seat, s.Leader, s.Acting, s.Lapsed, s.LeaseMS, s.Record.InForce.Number)
				if v := s.Record.Announced; v != nil {
					fmt.Fprintf(w, "announced\t%d by %s: %s\nwaits for\t%v\n", v.Number, v.By, v.Why, s.Waits)
				}
			})
		}},
		&cobra.Command{Use: "members", Short: "Who holds a lease, as the leader knows (ask the leader)", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			return show(c, func(w *tabwriter.Writer, s fleet.Status) {
				fmt.Fprint(w, "dispatcher\tacknowledged\n")
				var names []string
				for name := range s.Present {
					names = append(names, name)
				}
				slices.Sort(names)
				for _, name := range names {
					fmt.Fprintf(w, "%s\t%d\n", name, s.Present[name])
				}
			})
		}},
		&cobra.Command{Use: "history", Short: "Versions that were in force", Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			return show(c, func(w *tabwriter.Writer, s fleet.Status) {
				fmt.Fprint(w, "version\tretries\trepeat\tout\tby\twhy\tat\n")
				for _, v := range append(s.Record.History, s.Record.InForce) {
					fmt.Fprintf(w, "%d\t%g\t%t\t%v\t%s\t%s\t%s\n", v.Number, v.Rules.Retries, v.Rules.Repeat, v.Rules.Out, v.By, v.Why, v.At.Format(time.RFC3339))
				}
			})
		}},
	)
	change := &cobra.Command{Use: "propose FILE", Short: "Announce the rules in a file, to follow the version in force", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			r, err := diag.Read(args[0], readRules)
			if err != nil {
				return err
			}
			s, err := status(c)
			if err != nil {
				return err
			}
			return propose(c, s.Record.InForce.Number, *r)
		}}
	back := &cobra.Command{Use: "rollback", Short: "Announce the rules that were in force before", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := status(c)
			if err != nil {
				return err
			}
			for _, v := range slices.Backward(s.Record.History) {
				if v.Number > 0 {
					return propose(c, s.Record.InForce.Number, v.Rules)
				}
			}
			return fmt.Errorf("no version was in force before")
		}}
	for _, sub := range []*cobra.Command{change, back} {
		sub.Flags().StringVar(&why, "why", "", "the reason, kept with the version")
		_ = sub.MarkFlagRequired("why")
		c.AddCommand(sub)
	}
	return c
}

// rulesFile is a proposal as it is written.
type rulesFile struct {
	Retries float64  `hcl:"retries,optional"`
	Repeat  bool     `hcl:"repeat,optional"`
	Out     []string `hcl:"out,optional"`
}

// readRules reads a proposal, whole or not at all.
func readRules(text []byte, path string) (*agreement.Rules, error) {
	f := rulesFile{Retries: -1, Repeat: true}
	var r agreement.Rules
	err := diag.Decode(text, path, &f, func(body *hclsyntax.Body) (diags hcl.Diagnostics) {
		r = agreement.Rules{Retries: f.Retries, Repeat: f.Repeat, Out: f.Out}
		if err := r.Check(); err != nil {
			diags = append(diags, diag.At(body.MissingItemRange(), "Bad rules", "%v.", err))
		}
		return diags
	})
	return &r, err
}

// ask asks a dispatcher; a nil body gets.
func ask(ctx context.Context, url string, body []byte, to any) error {
	status, text, err := fleet.Call(ctx, &http.Client{Transport: &http.Transport{}}, url, body, time.Now().Add(answerWithin))
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

func encode(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
