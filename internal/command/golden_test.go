package command

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/spf13/cobra"
)

var update = flag.Bool("update", false, "rewrite the golden file")

// TestGoldenHelp checks that all sub-commands, flags, defaults and help texts are those of the golden file.
func TestGoldenHelp(t *testing.T) {
	var got bytes.Buffer
	writeHelp(&got, New())
	path := filepath.Join("testdata", "help.txt")
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Bytes(), want) {
		t.Errorf("the help differs from %s:\n%s", path, got.Bytes())
	}
}

// writeHelp writes the help of a command and of all below it, hidden ones too.
func writeHelp(out *bytes.Buffer, c *cobra.Command) {
	fmt.Fprintf(out, "==== %s\nhidden: %t\naliases: %q\nshort: %s\nlong: %s\n%s\n", c.CommandPath(), c.Hidden, c.Aliases, c.Short, c.Long, c.UsageString())
	for _, sub := range c.Commands() {
		writeHelp(out, sub)
	}
}
