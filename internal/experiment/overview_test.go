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

// The module stands behind no plain policy at works of other kinds than the one it was made for, and breaks no rule there:
// all of scenarios/deployments, in short. Of the module that served the first deployment alone 5 of 14 fell behind, by 0.05 to 0.35.
func TestDeployments(t *testing.T) {
	files, err := Files("../../scenarios/deployments")
	if err != nil || len(files) < 12 {
		t.Fatalf("%d works, %v", len(files), err)
	}
	var works []Deployment
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
		works = append(works, Deployment{file.Title, rows})
	}
	for _, s := range Standings(works) {
		// Two seeds tell little of chance: the margin is that of the kept six-seed runs, 0.05 at the most.
		if s.Difference.Mean < -0.05 {
			t.Errorf("%s: %.3f, %s %.3f", s.Work, s.Module.Mean, s.Plain, s.Best.Mean)
		}
	}
}

// A module that stands behind, or breaks a rule, is marked; the kept table and chart say the same.
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
