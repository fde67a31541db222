package fit

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// TestCompare compares two builds size by size and seed by seed, and checks that a metric without a ratio has a reason.
func TestCompare(t *testing.T) {
	run := func(dispatchers, seed, bytes float64) Run {
		return Run{Source: "r", Values: map[string]float64{"dispatchers": dispatchers, "workers": 530, "zones": 8, "seed": seed, "control_bytes_s_p50": bytes}}
	}
	fellBehind := run(300, 3, 9e9)
	fellBehind.FellBehind = true
	before := []Run{run(300, 1, 1000), run(300, 2, 2000), run(300, 4, 4000), run(300, 4, 2000), fellBehind, run(75, 1, 100), run(800, 1, 0), run(600, 1, 5)}
	after := []Run{run(300, 1, 500), run(300, 2, 500), run(300, 3, 1), run(300, 4, 2700), run(150, 1, 7), run(800, 1, 3), run(600, 2, 5)}
	after[0].Values["leader_bytes_s"] = 12
	var got []string
	for _, r := range Compare(before, after) {
		got = append(got, fmt.Sprintf("%v %s: %d %v %v %v %v %v %s", r.Dispatchers, r.Metric, r.Seeds, r.Before, r.After, r.Median, r.Low, r.High, r.Reason))
	}
	want := []string{
		"75 control_bytes_s_p50: 0 0 0 0 0 0 not there after",
		"150 control_bytes_s_p50: 0 0 0 0 0 0 not there before",
		"300 control_bytes_s_p50: 3 2000 500 0.5 0.25 0.9 ",
		"300 leader_bytes_s: 0 0 0 0 0 0 not there before",
		"600 control_bytes_s_p50: 0 0 0 0 0 0 no seed in common",
		"800 control_bytes_s_p50: 0 0 0 0 0 0 0 before",
	}
	if !slices.Equal(got, want) {
		t.Errorf("unexpected ratios:\n%s", strings.Join(got, "\n"))
	}
	var table bytes.Buffer
	if err := CompareTable(&table, before, after); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{"0.500  0.250 to 0.900", "no seed in common", "left out, as it fell behind (before): r (dispatchers 300, workers 530, zones 8, seed 3)"} {
		if !strings.Contains(table.String(), line) {
			t.Errorf("expected %q in the table, got\n%s", line, &table)
		}
	}
}
