package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"brassdale/internal/inject"
)

// injectCommand makes 'brassdale-lab inject', which runs a program and makes some of its system calls fail.
func injectCommand() *cobra.Command {
	var rules string
	var seed uint64
	var after time.Duration
	command := &cobra.Command{Use: "inject -- PROGRAM ARGUMENT...", Short: "Run a program and make some of its system calls fail", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			parsed, err := inject.ParseRules(rules)
			if err != nil {
				return err
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			signal.Ignore(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT) // these signals are meant for the program
			begin := time.Now()
			tracer := inject.Tracer{Rules: parsed, Seed: seed, Paused: func() bool { return time.Since(begin) < after },
				Began: func(pid int) { fmt.Fprintf(os.Stderr, "inject: pid=%d\n", pid) },
				Failed: func(call string, n int) {
					if n&(n-1) == 0 { // the first, second, fourth, ...
						fmt.Fprintf(os.Stderr, "inject: call=%s failed=%d\n", call, n)
					}
				}}
			status, err := tracer.Run(append([]string{self, "launch", "--rules", rules, "--"}, args...))
			if err != nil {
				return err
			}
			if status.Signaled() {
				return fmt.Errorf("%s: ended by %v", args[0], status.Signal())
			}
			if code := status.ExitStatus(); code != 0 {
				return fmt.Errorf("%s: exit status %d", strings.Join(args, " "), code)
			}
			return nil
		}}
	command.Flags().StringVar(&rules, "rules", "", "call=ERRNO:N, separated by commas, makes one call in N fail; for read and write, ERRNO may be the word short")
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of the choice of calls")
	command.Flags().DurationVar(&after, "after", 0, "no call fails before this time")
	return command
}

// launchCommand makes the hidden command that inject starts and traces: it installs the filter that stops the process at the calls of
// the rules, and replaces itself with the program.
func launchCommand() *cobra.Command {
	var rules string
	command := &cobra.Command{Use: "launch -- PROGRAM ARGUMENT...", Hidden: true, Args: cobra.MinimumNArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		parsed, err := inject.ParseRules(rules)
		if err != nil {
			return err
		}
		return inject.Launch(parsed, args)
	}}
	command.Flags().StringVar(&rules, "rules", "", "as for inject")
	return command
}
