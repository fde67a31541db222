package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"brassdale/internal/endpointcache"
)

// saved is the command that shows, checks and trims the folder of saved lists. A dispatcher may be at work in it.
func saved() *cobra.Command {
	c := &cobra.Command{Use: "saved", Short: "Show, check or trim a folder of saved lists"}
	var name string
	c.PersistentFlags().StringVar(&name, "name", "", "the dispatcher whose lists are meant (all if left out)")

	each := func(dir string, do func(string, *endpointcache.Store) error) error {
		names := []string{name}
		if name == "" {
			var err error
			if names, err = endpointcache.Dispatchers(dir); err != nil {
				return err
			}
			if len(names) == 0 {
				return fmt.Errorf("%s: no dispatcher has kept a list there", dir)
			}
		}
		var all error
		for _, name := range names {
			files, err := endpointcache.OpenExisting(dir, name)
			if err == nil {
				err = do(name, endpointcache.NewStore(files, name))
			}
			if err != nil {
				all = errors.Join(all, fmt.Errorf("%s: %w", name, err))
			}
		}
		return all
	}

	var asJSON bool
	show := &cobra.Command{Use: "show DIR", Short: "Print the list that a start would begin with", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return each(args[0], func(name string, s *endpointcache.Store) error {
				found, err := s.Generations()
				if err != nil {
					return err
				}
				for _, g := range found {
					if g.List != nil {
						return print(c.OutOrStdout(), g, asJSON)
					}
				}
				return errors.New("no generation is whole")
			})
		}}
	show.Flags().BoolVar(&asJSON, "json", false, "as it is kept")

	verify := &cobra.Command{Use: "verify DIR", Short: "Check all generations; exit code 1 if one is damaged", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return each(args[0], func(name string, s *endpointcache.Store) error {
				found, err := s.Generations()
				if err != nil {
					return err
				}
				damaged := 0
				for _, g := range found {
					switch {
					case g.Err != nil:
						damaged++
						fmt.Fprintf(c.OutOrStdout(), "%s: generation %d: %v\n", name, g.Number, g.Err)
					default:
						fmt.Fprintf(c.OutOrStdout(), "%s: generation %d: whole, of %s, %d boxes, %d records, %d bytes behind them\n",
							name, g.Number, g.List.ConfirmedAt().UTC().Format(time.RFC3339), len(g.List.Members), g.Records, g.TornBytes)
					}
				}
				if damaged > 0 {
					return fmt.Errorf("%d of %d generations are damaged", damaged, len(found))
				}
				return nil
			})
		}}

	keep := 1
	prune := &cobra.Command{Use: "prune DIR", Short: "Remove all but the newest generations", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if keep < 1 {
				return errors.New("--keep must be 1 or more")
			}
			return each(args[0], func(name string, s *endpointcache.Store) error {
				removed, err := s.Prune(keep)
				fmt.Fprintf(c.OutOrStdout(), "%s: %d files removed\n", name, removed)
				return err
			})
		}}
	prune.Flags().IntVar(&keep, "keep", keep, "how many generations stay")
	c.AddCommand(show, verify, prune)
	return c
}

// print writes a generation for people, or as it is kept.
func print(out io.Writer, g endpointcache.Generation, asJSON bool) error {
	s := g.List
	if asJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(s)
	}
	fmt.Fprintf(out, "dispatcher %s, generation %d, revision %d of %s, true at %s (%s ago)\n", s.Dispatcher, g.Number, s.Revision, s.Discovery,
		s.ConfirmedAt().UTC().Format(time.RFC3339), time.Since(s.ConfirmedAt()).Round(time.Second))
	outByHand := map[string]bool{}
	for _, id := range s.Detached {
		outByHand[id] = true
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "BOX\tADDRESS\tSITE\tKIND\tBAY\tPHASE\tUP SINCE\tHEARD")
	at := func(ms int64) string {
		if ms <= 0 {
			return "-"
		}
		return time.UnixMilli(ms).UTC().Format(time.RFC3339)
	}
	for _, m := range s.Members {
		phase := m.Phase
		if outByHand[m.ID] {
			phase += ", out by hand"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", m.ID, m.HostPort, m.Locality, m.Flavor, m.Cell, phase, at(m.UpSinceMS), at(m.LastSignalMS))
	}
	return w.Flush()
}
