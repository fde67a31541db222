// Simulator-adapter runs the scheduler in the operators' simulator: it translates between the simulator's JSON lines on standard
// input and output and the events and actions of package scheduler. It makes no decisions.
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}
