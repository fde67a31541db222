package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"brassdale/internal/emulator"
	"brassdale/internal/experiment"
)

// dispatcherPath returns the default path of the dispatcher's program: in this program's directory.
func dispatcherPath() string {
	self, err := os.Executable()
	if err != nil {
		return "brassdale"
	}
	return filepath.Join(filepath.Dir(self), "brassdale")
}

// variantScenario returns the scenario of a file's variant: the variant with the given name, or the first if the name is empty.
func variantScenario(file *experiment.File, variant string, seed uint64) (emulator.Scenario, error) {
	if variant == "" {
		return file.Scenario(file.Variants[0], seed)
	}
	for _, v := range file.Variants {
		if v.Name == variant {
			return file.Scenario(v, seed)
		}
	}
	return emulator.Scenario{}, fmt.Errorf("there is no variant %q", variant)
}

// emulateCommand makes 'brassdale-lab emulate', which runs workers and discovery on loopback for dispatchers that are started separately.
func emulateCommand() *cobra.Command {
	var dir, variant string
	var seed uint64
	command := &cobra.Command{Use: "emulate FILE", Short: "Run a scenario's workers and discovery on loopback, for dispatchers that are started separately", Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			file, err := experiment.Load(args[0])
			if err != nil {
				return err
			}
			scenario, err := variantScenario(file, variant, seed)
			if err != nil {
				return err
			}
			cluster, err := emulator.Open(scenario)
			if err != nil {
				return err
			}
			defer cluster.Close()
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return err
			}
			out := command.OutOrStdout()
			for number := range scenario.Dispatchers {
				text, err := cluster.Config(number)
				if err != nil {
					return err
				}
				path := filepath.Join(dir, fmt.Sprintf("n%d.json", number))
				if err := os.WriteFile(path, text, 0o600); err != nil {
					return err
				}
				fmt.Fprintf(out, "dispatcher %d: GW_CONFIG=%s bin/brassdale\n", number, path)
			}
			cluster.StartFaults()
			fmt.Fprintf(out, "%d workers, %d faults scheduled; Ctrl-C ends the run\n", cluster.Status().Workers, len(scenario.Faults))
			<-command.Context().Done()
			return reportStatus(out, cluster.Status())
		}}
	command.Flags().StringVar(&dir, "dir", "works", "a folder for the dispatchers' files")
	command.Flags().StringVar(&variant, "variant", "", "the variant to run (the first if left out)")
	command.Flags().Uint64Var(&seed, "seed", 1, "seed of the scenario")
	return command
}

// reportStatus prints the breaches of rules, and returns an error if there are any.
func reportStatus(out io.Writer, status emulator.Status) error {
	for _, breach := range status.Breaches {
		fmt.Fprintln(out, breach)
	}
	if n := len(status.Breaches); n > 0 {
		return fmt.Errorf("rules were broken %d times", n)
	}
	fmt.Fprintf(out, "%d sends, %d probes, no rule broken\n", status.Sends, status.Probes)
	return nil
}
