package experiment

import (
	"bytes"
	"encoding/json"
	"path/filepath"
	"testing"

	"brassdale/internal/testsupport"
)

// goldenSeeds is how many seeds of a scenario a golden file has.
const goldenSeeds = 2

// TestGoldenRows checks that the scheduler makes the same decisions as when the golden files were written: the emulator runs four
// scenarios on short spans in virtual time, and each row must be the same to the last digit.
func TestGoldenRows(t *testing.T) {
	for _, scenario := range []struct{ name, span string }{
		{"cold-release", "14s"}, // past both restarts
		{"kept-work", "9s"},     // into the burst
		{"probed-keyed-overload", "9s"},
		{"three-zones-overload", "12s"}, // into the burst and the late reports
	} {
		t.Run(scenario.name, func(t *testing.T) {
			got := goldenRows(t, scenario.name, scenario.span)
			if again := goldenRows(t, scenario.name, scenario.span); !bytes.Equal(got, again) {
				t.Fatalf("two runs differ:\n%s\n%s", got, again)
			}
			testsupport.CheckGolden(t, "testdata/golden/"+scenario.name+".json", got)
		})
	}
}

// goldenRows runs the scheduler's variant of a scenario on the span and returns its rows as JSON.
func goldenRows(t *testing.T, name, span string) []byte {
	t.Helper()
	file, err := Load(filepath.Join("..", "..", "scenarios", "deployments", name+".hcl"))
	if err != nil {
		t.Fatal(err)
	}
	if len(file.Variants) == 0 || file.Variants[0].Name != "module" {
		t.Fatalf("the first variant of %s is not the module", name)
	}
	file.Variants = file.Variants[:1]
	file.Seeds = goldenSeeds
	file.Settings.Span = &span
	rows, err := Run(t.Context(), file, InVirtualTime, goldenSeeds, "golden", func() {})
	if err != nil {
		t.Fatal(err)
	}
	if len(rows) != goldenSeeds {
		t.Fatalf("%d rows, want %d", len(rows), goldenSeeds)
	}
	text, err := json.MarshalIndent(rows, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}
