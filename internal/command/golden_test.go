package command

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/spf13/cobra"

	"brassdale/internal/testsupport"
)

// TestGoldenHelp checks all sub-commands, flags, defaults and help texts against the golden file.
func TestGoldenHelp(t *testing.T) {
	var got bytes.Buffer
	writeHelp(&got, New())
	testsupport.CheckGolden(t, "testdata/help.txt", got.Bytes())
}

// writeHelp writes the help of a command and of all its sub-commands, including hidden ones.
func writeHelp(out *bytes.Buffer, c *cobra.Command) {
	fmt.Fprintf(out, "==== %s\nhidden: %t\naliases: %q\nshort: %s\nlong: %s\n%s\n", c.CommandPath(), c.Hidden, c.Aliases, c.Short, c.Long, c.UsageString())
	for _, sub := range c.Commands() {
		writeHelp(out, sub)
	}
}
