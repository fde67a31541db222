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

// injectCommand runs a program whose system calls fail now and then.
func injectCommand() *cobra.Command {
	var rules string
	var seed uint64
	var after time.Duration
	c := &cobra.Command{Use: "inject -- PROGRAM ARGUMENT...", Short: "Run a program whose system calls fail now and then", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			parsed, err := inject.ParseRules(rules)
			if err != nil {
				return err
			}
			self, err := os.Executable()
			if err != nil {
				return err
			}
			signal.Ignore(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT) // they are for the program
			begin := time.Now()
			t := inject.Tracer{Rules: parsed, Seed: seed, Calm: func() bool { return time.Since(begin) < after },
				Began: func(pid int) { fmt.Fprintf(os.Stderr, "inject: pid=%d\n", pid) },
				Failed: func(call string, n int) {
					if n&(n-1) == 0 { // the first, and then fewer and fewer
						fmt.Fprintf(os.Stderr, "inject: call=%s failed=%d\n", call, n)
					}
				}}
			status, err := t.Run(append([]string{self, "launch", "--rules", rules, "--"}, args...))
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
	c.Flags().StringVar(&rules, "rules", "", "call=ERRNO:one-in, separated by commas; read and write may be short")
	c.Flags().Uint64Var(&seed, "seed", 1, "of the choice of calls")
	c.Flags().DurationVar(&after, "after", 0, "nothing fails before")
	return c
}

// launchCommand becomes a program that its tracer stops; inject starts it.
func launchCommand() *cobra.Command {
	var rules string
	c := &cobra.Command{Use: "launch -- PROGRAM ARGUMENT...", Hidden: true, Args: cobra.MinimumNArgs(1), RunE: func(_ *cobra.Command, args []string) error {
		parsed, err := inject.ParseRules(rules)
		if err != nil {
			return err
		}
		return inject.Launch(parsed, args)
	}}
	c.Flags().StringVar(&rules, "rules", "", "as for inject")
	return c
}
