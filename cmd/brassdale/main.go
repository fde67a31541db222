// Command brassdale runs the dispatcher, which the platform configures by environment variables, and the operators' commands.
package main

import (
	"fmt"
	"os"

	"brassdale/internal/command"
)

func main() {
	if err := command.New().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "brassdale:", err)
		os.Exit(1)
	}
}
