package fit

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"brassdale/internal/testsupport"
)

// readAll returns all files of a directory by name.
func readAll(t *testing.T, dir string) map[string]string {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	files := map[string]string{}
	for _, entry := range entries {
		text, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		if err != nil {
			t.Fatal(err)
		}
		files[entry.Name()] = string(text)
	}
	return files
}

// TestGolden checks the table, the slopes and the points of a set of runs against golden files, and the labels of the charts. One of the
// runs fell behind, and three have a different number of workers.
func TestGolden(t *testing.T) {
	runs, err := Read("testdata/results.json")
	if err != nil || len(runs) != 13 {
		t.Fatalf("expected 13 runs, got %d, %v", len(runs), err)
	}
	dir := t.TempDir()
	if err := Save(dir, runs); err != nil {
		t.Fatal(err)
	}
	files := readAll(t, dir)
	if got := slices.Sorted(maps.Keys(files)); strings.Join(got, " ") != "bytes.svg cpu.svg kinds.svg points.csv seats.svg slopes.csv slopes.json table.txt" {
		t.Errorf("unexpected files saved: %s", got)
	}
	for _, name := range []string{"table.txt", "slopes.csv", "slopes.json", "points.csv"} {
		testsupport.CheckGolden(t, filepath.Join("testdata", name), []byte(files[name]))
	}
	for name, labels := range map[string][]string{
		"bytes.svg": {"p50", "p99", "4 KB/s", "workers 530, zones 8"}, "cpu.svg": {"dispatcher", "seat, most", "leader", "48 ms/s"},
		"seats.svg": {"seat, most", "leader"}, "kinds.svg": {"renewal", "record", "gossip", "raft", "discovery", "4 KB/s"},
	} {
		for _, label := range labels {
			if !strings.Contains(files[name], label) {
				t.Errorf("%s: expected the label %q", name, label)
			}
		}
	}
}

// TestSameRunsSameBytes checks that the same runs give the same bytes regardless of their order, also in a directory with earlier results.
func TestSameRunsSameBytes(t *testing.T) {
	runs, err := Read("testdata/results.json")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := Save(dir, runs); err != nil {
		t.Fatal(err)
	}
	first := readAll(t, dir)
	withoutMetrics := []Run{{Source: "x", Values: map[string]float64{"dispatchers": 3}}}
	if err := Save(dir, withoutMetrics); err != nil {
		t.Fatal(err)
	}
	if got := readAll(t, dir); len(got) != 4 {
		t.Errorf("expected no charts of other runs, got the files %v", slices.Sorted(maps.Keys(got)))
	}
	slices.Reverse(runs)
	if err := Save(dir, runs); err != nil {
		t.Fatal(err)
	}
	if got := readAll(t, dir); !maps.Equal(got, first) {
		for name := range first {
			if got[name] != first[name] {
				t.Errorf("%s differs", name)
			}
		}
	}
}

// TestOneSize checks that with a single number of dispatchers points are drawn and nothing is fitted, that each kind of message has a band with
// its own color, and that metrics that are 0 in all runs are saved without an error.
func TestOneSize(t *testing.T) {
	var runs []Run
	for seed := range 3 {
		run := Run{Source: "x", Values: map[string]float64{"dispatchers": 300, "seed": float64(seed), "control_bytes_s_p50": 3000, "leader_bytes_s": 0}}
		for _, kind := range []string{"other", "renewal", "record", "report", "budget", "gossip", "member_probe", "raft", "discovery"} {
			run.Values["bytes_by_kind."+kind] = 100
		}
		runs = append(runs, run)
	}
	dir := t.TempDir()
	if err := Save(dir, runs); err != nil {
		t.Fatal(err)
	}
	files := readAll(t, dir)
	if !strings.Contains(files["table.txt"], "against dispatchers: nothing fitted") || strings.Contains(files["slopes.json"], "intercept") || strings.Count(files["slopes.csv"], "\n") != 1 {
		t.Errorf("expected no fitted number:\n%s", files["table.txt"])
	}
	if files["bytes.svg"] == "" || files["seats.svg"] == "" || files["kinds.svg"] == "" || files["cpu.svg"] != "" {
		t.Errorf("expected bytes.svg, seats.svg and kinds.svg, and no cpu.svg, got %v", slices.Sorted(maps.Keys(files)))
	}
	colors := map[string]bool{}
	for i := range 9 {
		colors[fmt.Sprint(bandColor(i))] = true
	}
	if len(colors) != 9 {
		t.Errorf("got %d colors for nine kinds", len(colors))
	}
}
