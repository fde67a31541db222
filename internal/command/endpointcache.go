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

// cacheCommands are the commands on a directory of endpoint caches. A dispatcher may write to it at the same time.
type cacheCommands struct {
	dispatcher string // whose cache to use; empty for all
	asJSON     bool   // output of show
	keep       int    // number of generations that prune keeps
}

// endpointCacheCommand makes 'brassdale saved'.
func endpointCacheCommand() *cobra.Command {
	commands := &cacheCommands{keep: 1}
	parent := &cobra.Command{Use: "saved", Short: "Show, verify or prune a directory of endpoint caches"}
	parent.PersistentFlags().StringVar(&commands.dispatcher, "name", "", "the dispatcher whose cache to use (all if left out)")

	show := &cobra.Command{Use: "show DIR", Short: "Print the endpoint list that a dispatcher would start with", Args: cobra.ExactArgs(1), RunE: commands.show}
	show.Flags().BoolVar(&commands.asJSON, "json", false, "print the stored list as JSON")
	verify := &cobra.Command{Use: "verify DIR", Short: "Check all generations; exit code 1 if one is damaged", Args: cobra.ExactArgs(1), RunE: commands.verify}
	prune := &cobra.Command{Use: "prune DIR", Short: "Remove all but the newest generations", Args: cobra.ExactArgs(1), RunE: commands.prune}
	prune.Flags().IntVar(&commands.keep, "keep", commands.keep, "how many generations to keep")
	parent.AddCommand(show, verify, prune)
	return parent
}

// eachStore calls do with the store of each selected dispatcher and joins the errors. An error names its dispatcher.
func (c *cacheCommands) eachStore(dir string, do func(dispatcher string, store *endpointcache.Store) error) error {
	dispatchers := []string{c.dispatcher}
	if c.dispatcher == "" {
		var err error
		if dispatchers, err = endpointcache.Dispatchers(dir); err != nil {
			return err
		}
		if len(dispatchers) == 0 {
			return fmt.Errorf("%s: no endpoint cache found", dir)
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

// show prints the newest generation that is not damaged.
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
		return errors.New("all generations are damaged or none exists")
	})
}

// verify prints the state of each generation. Its error has the number of damaged ones.
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
			fmt.Fprintf(command.OutOrStdout(), "%s: generation %d: whole, confirmed at %s, %d workers, %d journal records, %d bytes after them\n",
				dispatcher, generation.Number, generation.List.ConfirmedAt().UTC().Format(time.RFC3339),
				len(generation.List.Members), generation.Records, generation.TornBytes)
		}
		if damaged > 0 {
			return fmt.Errorf("%d of %d generations are damaged", damaged, len(generations))
		}
		return nil
	})
}

// prune removes all but the newest generations and prints the number of removed files.
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

// printGeneration writes a generation as a table, or the stored list as JSON.
func printGeneration(out io.Writer, generation endpointcache.Generation, asJSON bool) error {
	list := generation.List
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(list)
	}
	fmt.Fprintf(out, "dispatcher %s, generation %d, revision %d of %s, confirmed at %s (%s ago)\n", list.Dispatcher, generation.Number, list.Revision, list.Discovery,
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
