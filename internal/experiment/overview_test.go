package experiment

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
)

// TestDeployments: the scheduler is behind no plain policy at any of scenarios/deployments, with two seeds each, and breaks no
// rule.
func TestDeployments(t *testing.T) {
	files, err := Files("../../scenarios/deployments")
	if err != nil || len(files) < 12 {
		t.Fatalf("%d works, %v", len(files), err)
	}
	var deployments []Deployment
	for _, path := range files {
		file, err := Load(path)
		if err != nil {
			t.Fatal(err)
		}
		file.Seeds = 2
		rows, err := Run(context.Background(), file, InVirtualTime, runtime.GOMAXPROCS(0), "", func() {})
		if err != nil {
			t.Fatal(err)
		}
		module, _ := Breaches(rows, file)
		for _, b := range module {
			t.Errorf("%s: %s", file.Title, b)
		}
		deployments = append(deployments, Deployment{file.Title, rows})
	}
	for _, standing := range Standings(deployments) {
		// Two seeds say little of the noise: the margin is that of the stored six-seed runs, at most 0.05.
		if standing.Difference.Mean < -0.05 {
			t.Errorf("%s: %.3f, %s %.3f", standing.Deployment, standing.Scheduler.Mean, standing.Plain, standing.Best.Mean)
		}
	}
}

// TestOverview: a scheduler that is behind, or broke a rule, is marked so, in the saved table too.
func TestOverview(t *testing.T) {
	row := func(variant string, seed uint64, merit float64) Row {
		return Row{Variant: variant, Seed: seed, Merit: merit}
	}
	work := func(name string, merit float64) Deployment {
		return Deployment{name, []Row{row("module", 1, merit), row("module", 2, merit+0.01), row("random", 1, 0.2), row("random", 2, 0.2), row("lud", 1, 0.8), row("lud", 2, 0.81)}}
	}
	broken := work("broken", 0.9)
	broken.Rows[0].Breaches = []string{"a rule"}
	all := Standings([]Deployment{work("level", 0.79), work("behind", 0.7), broken})
	for i, want := range []bool{false, true, true} {
		if s := all[i]; s.Behind() != want || s.Plain != "lud" {
			t.Errorf("%+v: behind %v", s, s.Behind())
		}
	}
	dir := t.TempDir()
	if err := SaveOverview(dir, []Deployment{work("level", 0.79), work("behind", 0.7)}); err != nil {
		t.Fatal(err)
	}
	table, _ := os.ReadFile(filepath.Join(dir, "overview.txt"))
	if lines := strings.Split(string(table), "\n"); !strings.Contains(lines[2], "behind") || !strings.HasSuffix(strings.TrimSpace(lines[2]), "behind") || strings.HasSuffix(strings.TrimSpace(lines[1]), "behind") {
		t.Errorf("kept:\n%s", table)
	}
	if chart, err := os.ReadFile(filepath.Join(dir, "overview.svg")); err != nil || !strings.Contains(string(chart), "<svg") {
		t.Errorf("no chart: %v", err)
	}
	if err := Overview(io.Discard, all); err != nil {
		t.Fatal(err)
	}
	if _, err := Files(dir); err == nil {
		t.Error("a folder without experiments was taken")
	}
}
