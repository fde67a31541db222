// Package command is the command line.
package command

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"brassdale/internal/operator"
	"brassdale/internal/program"
)

// New makes the command. Without a sub-command it serves, as the platform starts it.
func New() *cobra.Command {
	serve := &serving{}
	root := &cobra.Command{
		Use:   "brassdale",
		Short: "A dispatcher for quote jobs",
		Long: "Brassdale takes jobs from clients, decides which endpoint runs each, sends it there and gives every job\n" +
			"exactly one final answer. Without a sub-command it serves. The platform's variables (GW_CONFIG, GW_NAME,\n" +
			"GW_LISTEN, GW_DISCOVERY, GW_ADMIN, TMPDIR) tell it what it needs.",
		Args:          cobra.NoArgs,
		RunE:          serve.run,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	serve.flags(root)
	sub := &cobra.Command{Use: "serve", Short: "Serve until SIGTERM and all is answered", Args: cobra.NoArgs, RunE: serve.run}
	serve.flags(sub)
	root.AddCommand(sub, check(), saved(), fleetCommand(), zonesCommand(), budgetsCommand(), version())
	return root
}

// serving is the command that serves, with its flags.
type serving struct {
	operator, format, level string
}

func (s *serving) flags(c *cobra.Command) {
	c.Flags().StringVar(&s.operator, "operator", "", "the operator's file (HCL), which switches on what the platform does not ask for")
	c.Flags().StringVar(&s.format, "log-format", "text", "text or json")
	c.Flags().StringVar(&s.level, "log-level", "", "debug, info, warn or error (info, or debug where BRASSDALE_DEBUG is set)")
}

func (s *serving) run(*cobra.Command, []string) error {
	options := program.Options{Operator: s.operator}
	if s.level == "" && os.Getenv("BRASSDALE_DEBUG") != "" {
		s.level = "debug"
	}
	if s.level != "" {
		if err := options.Level.UnmarshalText([]byte(s.level)); err != nil {
			return fmt.Errorf("--log-level: %q is none of debug, info, warn, error", s.level)
		}
	}
	switch s.format {
	case "text":
		options.Handler = func(h *slog.HandlerOptions) slog.Handler { return slog.NewTextHandler(os.Stderr, h) }
	case "json":
		options.Handler = func(h *slog.HandlerOptions) slog.Handler { return slog.NewJSONHandler(os.Stderr, h) }
	default:
		return fmt.Errorf("--log-format: %q is neither text nor json", s.format)
	}
	// A channel each: where one signal waits already, a further one is dropped, and a SIGTERM must not be
	// dropped for a SIGHUP. Both are taken from the first moment on, or a SIGHUP would end the program.
	ends, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reloads, syscall.SIGHUP)
	return program.Run(os.Getenv, options, ends, reloads)
}

func check() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check an operator's file: print every fault, or what would be in force",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			f, err := operator.Load(args[0])
			if err != nil {
				return err
			}
			fmt.Fprint(c.OutOrStdout(), f)
			return nil
		},
	}
}

func version() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print what this binary was built from",
		Args:  cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) {
			revision, changed := "unknown", ""
			info, ok := debug.ReadBuildInfo()
			if !ok {
				info = &debug.BuildInfo{}
			}
			for _, s := range info.Settings {
				switch {
				case s.Key == "vcs.revision":
					revision = s.Value
				case s.Key == "vcs.modified" && s.Value == "true":
					changed = " (changed)"
				}
			}
			fmt.Fprintf(c.OutOrStdout(), "brassdale %s%s %s\n", revision, changed, strings.TrimSpace(info.GoVersion))
		},
	}
}
