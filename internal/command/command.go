// Package command is the command line of the dispatcher: it serves, checks files, and shows or changes the state of a fleet.
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

// New makes the root command. Without a sub-command it serves, which is how the platform starts it.
func New() *cobra.Command {
	serve := &serveCommand{}
	root := &cobra.Command{
		Use:   "brassdale",
		Short: "A dispatcher for quote jobs",
		Long: "Brassdale takes jobs from clients, decides which endpoint runs each, sends it there and gives every job\n" +
			"exactly one final answer. Without a sub-command it serves. The platform configures it by environment variables\n" +
			"(GW_CONFIG, GW_NAME, GW_LISTEN, GW_DISCOVERY, GW_ADMIN, TMPDIR).",
		Args:          cobra.NoArgs,
		RunE:          serve.run,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	serve.addFlags(root)
	sub := &cobra.Command{Use: "serve", Short: "Serve until SIGTERM, then answer all open requests and exit", Args: cobra.NoArgs, RunE: serve.run}
	serve.addFlags(sub)
	root.AddCommand(sub, checkCommand(), endpointCacheCommand(), fleetCommand(), zonesCommand(), budgetsCommand(), versionCommand())
	return root
}

// serveCommand is the command that serves, with its flags.
type serveCommand struct {
	operator, format, level string
}

// addFlags adds the flags to a command that serves.
func (s *serveCommand) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&s.operator, "operator", "", "the operator's file (HCL), which enables features that the platform's config does not")
	c.Flags().StringVar(&s.format, "log-format", "text", "text or json")
	c.Flags().StringVar(&s.level, "log-level", "", "debug, info, warn or error (info, or debug if BRASSDALE_DEBUG is set)")
}

// run serves until a signal ends the program.
func (s *serveCommand) run(*cobra.Command, []string) error {
	options := program.Options{Operator: s.operator}
	if s.level == "" && os.Getenv("BRASSDALE_DEBUG") != "" {
		s.level = "debug"
	}
	if s.level != "" {
		if err := options.Level.UnmarshalText([]byte(s.level)); err != nil {
			return fmt.Errorf("--log-level: expected debug, info, warn or error, got %q", s.level)
		}
	}
	switch s.format {
	case "text":
		options.Handler = func(h *slog.HandlerOptions) slog.Handler { return slog.NewTextHandler(os.Stderr, h) }
	case "json":
		options.Handler = func(h *slog.HandlerOptions) slog.Handler { return slog.NewJSONHandler(os.Stderr, h) }
	default:
		return fmt.Errorf("--log-format: expected text or json, got %q", s.format)
	}
	// Each signal has its own channel: a signal is dropped if its channel is full, and a pending SIGHUP must not cause the loss of a
	// SIGTERM. Both are caught before the start, as an uncaught SIGHUP would end the program.
	ends, reloads := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reloads, syscall.SIGHUP)
	return program.Run(os.Getenv, options, ends, reloads)
}

// checkCommand makes 'brassdale check'.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check an operator's file: print all errors, or the resulting settings",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			file, err := operator.Load(args[0])
			if err != nil {
				return err
			}
			fmt.Fprint(c.OutOrStdout(), file)
			return nil
		},
	}
}

// versionCommand makes 'brassdale version'.
func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print what this binary was built from",
		Args:  cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) {
			revision, changed := "unknown", ""
			info, ok := debug.ReadBuildInfo()
			if !ok {
				info = &debug.BuildInfo{}
			}
			for _, setting := range info.Settings {
				switch {
				case setting.Key == "vcs.revision":
					revision = setting.Value
				case setting.Key == "vcs.modified" && setting.Value == "true":
					changed = " (changed)"
				}
			}
			fmt.Fprintf(command.OutOrStdout(), "brassdale %s%s %s\n", revision, changed, strings.TrimSpace(info.GoVersion))
		},
	}
}
