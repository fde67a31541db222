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

// cacheCommands are the commands on a directory of endpoint caches. A dispatcher may be writing there meanwhile.
type cacheCommands struct {
	dispatcher string // whose cache is meant; empty for all
	asJSON     bool   // for show
	keep       int    // generations that prune leaves
}

// endpointCacheCommand makes 'brassdale saved'.
func endpointCacheCommand() *cobra.Command {
	commands := &cacheCommands{keep: 1}
	parent := &cobra.Command{Use: "saved", Short: "Show, check or trim a folder of saved lists"}
	parent.PersistentFlags().StringVar(&commands.dispatcher, "name", "", "the dispatcher whose lists are meant (all if left out)")

	show := &cobra.Command{Use: "show DIR", Short: "Print the list that a start would begin with", Args: cobra.ExactArgs(1), RunE: commands.show}
	show.Flags().BoolVar(&commands.asJSON, "json", false, "as it is kept")
	verify := &cobra.Command{Use: "verify DIR", Short: "Check all generations; exit code 1 if one is damaged", Args: cobra.ExactArgs(1), RunE: commands.verify}
	prune := &cobra.Command{Use: "prune DIR", Short: "Remove all but the newest generations", Args: cobra.ExactArgs(1), RunE: commands.prune}
	prune.Flags().IntVar(&commands.keep, "keep", commands.keep, "how many generations stay")
	parent.AddCommand(show, verify, prune)
	return parent
}

// eachStore calls do with the store of each dispatcher that is meant, and joins the errors. An error names its dispatcher.
func (c *cacheCommands) eachStore(dir string, do func(dispatcher string, store *endpointcache.Store) error) error {
	dispatchers := []string{c.dispatcher}
	if c.dispatcher == "" {
		var err error
		if dispatchers, err = endpointcache.Dispatchers(dir); err != nil {
			return err
		}
		if len(dispatchers) == 0 {
			return fmt.Errorf("%s: no dispatcher has kept a list there", dir)
		}
	}
	var all error
	for _, dispatcher := range dispatchers {
		files, err := endpointcache.OpenExisting(dir, dispatcher)
		if err == nil {
			err = do(dispatcher, endpointcache.NewStore(files, dispatcher))
		}
		if err != nil {
			all = errors.Join(all, fmt.Errorf("%s: %w", dispatcher, err))
		}
	}
	return all
}

// show prints the newest generation that is whole.
func (c *cacheCommands) show(command *cobra.Command, args []string) error {
	return c.eachStore(args[0], func(_ string, store *endpointcache.Store) error {
		generations, err := store.Generations()
		if err != nil {
			return err
		}
		for _, generation := range generations {
			if generation.List != nil {
				return printGeneration(command.OutOrStdout(), generation, c.asJSON)
			}
		}
		return errors.New("no generation is whole")
	})
}

// verify prints what is found of each generation. Its error says how many are damaged.
func (c *cacheCommands) verify(command *cobra.Command, args []string) error {
	return c.eachStore(args[0], func(dispatcher string, store *endpointcache.Store) error {
		generations, err := store.Generations()
		if err != nil {
			return err
		}
		damaged := 0
		for _, generation := range generations {
			if generation.Err != nil {
				damaged++
				fmt.Fprintf(command.OutOrStdout(), "%s: generation %d: %v\n", dispatcher, generation.Number, generation.Err)
				continue
			}
			fmt.Fprintf(command.OutOrStdout(), "%s: generation %d: whole, of %s, %d boxes, %d records, %d bytes behind them\n",
				dispatcher, generation.Number, generation.List.ConfirmedAt().UTC().Format(time.RFC3339),
				len(generation.List.Members), generation.Records, generation.TornBytes)
		}
		if damaged > 0 {
			return fmt.Errorf("%d of %d generations are damaged", damaged, len(generations))
		}
		return nil
	})
}

// prune removes all but the newest generations and prints how many files that were.
func (c *cacheCommands) prune(command *cobra.Command, args []string) error {
	if c.keep < 1 {
		return errors.New("--keep must be 1 or more")
	}
	return c.eachStore(args[0], func(dispatcher string, store *endpointcache.Store) error {
		removed, err := store.Prune(c.keep)
		fmt.Fprintf(command.OutOrStdout(), "%s: %d files removed\n", dispatcher, removed)
		return err
	})
}

// printGeneration writes a generation as a table, or as the JSON that is on file.
func printGeneration(out io.Writer, generation endpointcache.Generation, asJSON bool) error {
	list := generation.List
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(list)
	}
	fmt.Fprintf(out, "dispatcher %s, generation %d, revision %d of %s, true at %s (%s ago)\n", list.Dispatcher, generation.Number, list.Revision, list.Discovery,
		list.ConfirmedAt().UTC().Format(time.RFC3339), time.Since(list.ConfirmedAt()).Round(time.Second))
	detached := map[string]bool{}
	for _, id := range list.Detached {
		detached[id] = true
	}
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "BOX\tADDRESS\tSITE\tKIND\tBAY\tPHASE\tUP SINCE\tHEARD")
	for _, member := range list.Members {
		phase := member.Phase
		if detached[member.ID] {
			phase += ", out by hand"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", member.ID, member.HostPort, member.Locality, member.Flavor, member.Cell, phase,
			unixMilliText(member.UpSinceMS), unixMilliText(member.LastSignalMS))
	}
	return table.Flush()
}

// unixMilliText returns a Unix time in milliseconds as text; "-" for 0 or less.
func unixMilliText(milliseconds int64) string {
	if milliseconds <= 0 {
		return "-"
	}
	return time.UnixMilli(milliseconds).UTC().Format(time.RFC3339)
}
