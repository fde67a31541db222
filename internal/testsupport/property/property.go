// Package property checks properties over cases that rapid draws. The cases are the same in every run. Only test files import it.
package property

import (
	"flag"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// The values of -rapid.seed and -rapid.checks if the command line does not set them.
const (
	seed   = "1"
	checks = "1000"
)

var useDefaults = sync.OnceValue(func() error {
	if err := replaceDefault("rapid.seed", seed); err != nil {
		return err
	}
	return replaceDefault("rapid.checks", checks)
})

// Check checks a property over drawn cases; the property reports failures through its T. The cases are the same in every run, so that the
// result depends only on the code. go test -rapid.seed=N draws other cases, and -rapid.checks=N sets their number.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	if err := useDefaults(); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, property)
}

// replaceDefault sets a flag of rapid, unless its value differs from rapid's default.
func replaceDefault(name, value string) error {
	option := flag.Lookup(name)
	if option.Value.String() != option.DefValue {
		return nil
	}
	return option.Value.Set(value)
}
