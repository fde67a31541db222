// Package property checks properties over cases that rapid draws, the same ones in every run. Only test files import it.
package property

import (
	"flag"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// The cases that are drawn unless -rapid.seed or -rapid.checks say otherwise.
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

// Check draws cases for a property, which fails by its T. A package's tests draw the same cases in every run, so that their
// verdict depends on the code alone; go test -rapid.seed=N draws others, and -rapid.checks=N so many.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	if err := useDefaults(); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, property)
}

// replaceDefault sets a flag of rapid, unless it was set to something else than rapid's default.
func replaceDefault(name, value string) error {
	option := flag.Lookup(name)
	if option.Value.String() != option.DefValue {
		return nil
	}
	return option.Value.Set(value)
}
