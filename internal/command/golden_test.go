package command

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/spf13/cobra"

	"brassdale/internal/testsupport"
)

// TestGoldenHelp checks that all sub-commands, flags, defaults and help texts are those of the golden file.
func TestGoldenHelp(t *testing.T) {
	var got bytes.Buffer
	writeHelp(&got, New())
	testsupport.CheckGolden(t, "testdata/help.txt", got.Bytes())
}

// writeHelp writes the help of a command and of all below it, hidden ones too.
func writeHelp(out *bytes.Buffer, c *cobra.Command) {
	fmt.Fprintf(out, "==== %s\nhidden: %t\naliases: %q\nshort: %s\nlong: %s\n%s\n", c.CommandPath(), c.Hidden, c.Aliases, c.Short, c.Long, c.UsageString())
	for _, sub := range c.Commands() {
		writeHelp(out, sub)
	}
}
