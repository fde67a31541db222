// Brassdale-lab plays experiments on a model of the works. It is a binary of its own so that the dispatcher does not carry
// what it links.
package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"brassdale/internal/experiment"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	root := &cobra.Command{Use: "brassdale-lab", Short: "Experiments on a model of the works", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(run(), report(), loadCommand(), emulate(), demo(), fleet(), failover(), scaleCommand(), scaleReport(), hollow(), injectCommand(), launchCommand(), soakCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "brassdale-lab:", err)
		os.Exit(1)
	}
}

func run() *cobra.Command {
	var out, binary string
	var seeds int
	var sockets bool
	c := &cobra.Command{Use: "experiment FILE|DIR", Short: "Play an experiment, or all of a folder beside each other, and keep the results", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if info, err := os.Stat(args[0]); err == nil && info.IsDir() {
				if sockets {
					return errors.New("a folder of experiments is played in virtual time only")
				}
				return overview(c, args[0], out, seeds)
			}
			f, err := experiment.Load(args[0])
			if err != nil {
				return err
			}
			if seeds > 0 {
				f.Seeds = seeds
			}
			bar := progress(f.Seeds*len(f.Variants), f.Title)
			play, together := experiment.Player(experiment.InVirtualTime), runtime.GOMAXPROCS(0)
			if sockets { // in real time, one after the other: they would take each other's cores
				play, together = experiment.OnSockets(binary), 1
			}
			rows, err := experiment.Run(c.Context(), f, play, together, build(), func() { _ = bar.Add(1) })
			_ = bar.Finish()
			if errors.Is(err, context.Canceled) && len(rows) > 0 {
				fmt.Fprintf(os.Stderr, "stopped: %d of %d runs are kept\n", len(rows), f.Seeds*len(f.Variants))
			} else if err != nil {
				return err
			}
			out = folder(out)
			if err := experiment.Save(out, f.Title, rows); err != nil {
				return err
			}
			return tell(c, out, rows, f, err)
		}}
	c.Flags().StringVar(&out, "out", "", "the folder for the results (results/ and the time if left out)")
	c.Flags().BoolVar(&sockets, "sockets", false, "in real time, with real dispatchers on loopback")
	c.Flags().StringVar(&binary, "binary", dispatcherBeside(), "the dispatcher's program, for --sockets")
	c.Flags().IntVar(&seeds, "seeds", 0, "so many seeds instead of the file's")
	return c
}

// folder is where results are kept.
func folder(out string) string {
	return cmp.Or(out, filepath.Join("results", time.Now().UTC().Format("2006-01-02T150405")))
}

// overview plays all experiments of a folder and sets the module beside the best plain policy of each. It fails where the
// module stands behind by more than the margin, or breaks a rule.
func overview(c *cobra.Command, dir, out string, seeds int) error {
	files, err := experiment.Files(dir)
	if err != nil {
		return err
	}
	var works []experiment.Work
	behind := 0
	for _, path := range files {
		f, err := experiment.Load(path)
		if err != nil {
			return err
		}
		if seeds > 0 {
			f.Seeds = seeds
		}
		bar := progress(f.Seeds*len(f.Variants), f.Title)
		rows, err := experiment.Run(c.Context(), f, experiment.InVirtualTime, runtime.GOMAXPROCS(0), build(), func() { _ = bar.Add(1) })
		_ = bar.Finish()
		if err != nil {
			return err
		}
		module, _ := experiment.Breaches(rows, f)
		for _, b := range module {
			fmt.Fprintf(os.Stderr, "%s: %s\n", f.Title, b)
		}
		works = append(works, experiment.Work{Name: f.Title, Rows: rows})
	}
	out = folder(out)
	if err := experiment.SaveOverview(out, works); err != nil {
		return err
	}
	all := experiment.Standings(works)
	for _, s := range all {
		if s.Behind() {
			behind++
		}
	}
	if err := experiment.Overview(c.OutOrStdout(), all); err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "kept in %s\n", out)
	if behind > 0 {
		return fmt.Errorf("the module stands behind at %d of %d works", behind, len(all))
	}
	return nil
}

func report() *cobra.Command {
	return &cobra.Command{Use: "report DIR", Short: "Draw tables and charts of kept results again", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			title, rows, err := experiment.Read(args[0])
			if err == nil {
				err = experiment.Draw(args[0], title, rows)
			}
			if err != nil {
				return err
			}
			return tell(c, args[0], rows, nil, nil)
		}}
}

// tell prints the table, and every rule that was broken, with run, request, box and moment: with one of the module's, the
// command fails. What a plain policy breaks is told, and no fault of the program's.
func tell(c *cobra.Command, dir string, rows []experiment.Row, f *experiment.File, err error) error {
	if e := experiment.Table(c.OutOrStdout(), rows); e != nil {
		return e
	}
	fmt.Fprintf(c.OutOrStdout(), "kept in %s\n", dir)
	module, plain := experiment.Breaches(rows, f)
	for _, breaches := range [][]string{plain, module} {
		for i, b := range breaches {
			if i == 20 {
				fmt.Fprintf(os.Stderr, "and %d more\n", len(breaches)-i)
				break
			}
			fmt.Fprintln(os.Stderr, b)
		}
	}
	if len(plain) > 0 {
		fmt.Fprintf(os.Stderr, "plain policies broke rules %d times\n", len(plain))
	}
	if len(module) > 0 {
		err = errors.Join(err, fmt.Errorf("the module broke rules %d times", len(module)))
	}
	return err
}

// progress shows on a terminal how far a command is; -1 where nobody knows how much there is.
func progress(most int, what string) *progressbar.ProgressBar {
	return progressbar.NewOptions(most, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription(what),
		progressbar.OptionSetVisibility(terminal(os.Stderr)), progressbar.OptionClearOnFinish(), progressbar.OptionShowCount())
}

func terminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// build names what the rows were made with.
func build() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				return s.Value[:min(len(s.Value), 12)]
			}
		}
	}
	return "unknown"
}
