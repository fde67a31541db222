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

// TestCompareDeployments_schedulerNotWorse checks that the scheduler breaks no rule at any of scenarios/deployments, with two seeds each, and
// that its merit is at most 0.05 below the merit of the best plain policy.
func TestCompareDeployments_schedulerNotWorse(t *testing.T) {
	files, err := Files("../../scenarios/deployments")
	if err != nil || len(files) < 12 {
		t.Fatalf("%d deployments, error %v", len(files), err)
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
		schedulerBreaches, _ := Breaches(rows, file)
		for _, breach := range schedulerBreaches {
			t.Errorf("%s: %s", file.Title, breach)
		}
		deployments = append(deployments, Deployment{file.Title, rows})
	}
	for _, comparison := range CompareDeployments(deployments) {
		// Two seeds are too few to estimate the noise: the margin is taken from the stored runs with six seeds, 0.05 at most.
		if comparison.Difference.Mean < -0.05 {
			t.Errorf("%s: scheduler %.3f, %s %.3f", comparison.Deployment, comparison.Scheduler.Mean, comparison.Plain, comparison.Best.Mean)
		}
	}
}

// TestOverview_marksBehind checks that a deployment where the scheduler is significantly worse than a plain policy, or broke a rule, is
// marked as behind, in the saved table too.
func TestOverview_marksBehind(t *testing.T) {
	row := func(variant string, seed uint64, merit float64) Row {
		return Row{Variant: variant, Seed: seed, Merit: merit}
	}
	deployment := func(name string, merit float64) Deployment {
		return Deployment{name, []Row{row("module", 1, merit), row("module", 2, merit+0.01), row("random", 1, 0.2), row("random", 2, 0.2), row("lud", 1, 0.8), row("lud", 2, 0.81)}}
	}
	broken := deployment("broken", 0.9)
	broken.Rows[0].Breaches = []string{"a rule"}
	comparisons := CompareDeployments([]Deployment{deployment("level", 0.79), deployment("behind", 0.7), broken})
	for i, want := range []bool{false, true, true} {
		if comparison := comparisons[i]; comparison.Behind() != want || comparison.Plain != "lud" {
			t.Errorf("%+v: behind %v, want %v", comparison, comparison.Behind(), want)
		}
	}
	dir := t.TempDir()
	if err := SaveOverview(dir, []Deployment{deployment("level", 0.79), deployment("behind", 0.7)}); err != nil {
		t.Fatal(err)
	}
	table, _ := os.ReadFile(filepath.Join(dir, "overview.txt"))
	if lines := strings.Split(string(table), "\n"); !strings.Contains(lines[2], "behind") || !strings.HasSuffix(strings.TrimSpace(lines[2]), "behind") || strings.HasSuffix(strings.TrimSpace(lines[1]), "behind") {
		t.Errorf("saved table:\n%s", table)
	}
	if chart, err := os.ReadFile(filepath.Join(dir, "overview.svg")); err != nil || !strings.Contains(string(chart), "<svg") {
		t.Errorf("no chart: %v", err)
	}
	if err := Overview(io.Discard, comparisons); err != nil {
		t.Fatal(err)
	}
	if _, err := Files(dir); err == nil {
		t.Error("a directory without experiments was accepted")
	}
}
