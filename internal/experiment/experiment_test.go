package experiment

import (
	"bytes"
	"context"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// smallExperiment has two variants and four seeds: eight runs.
const smallExperiment = `title = "small"
seeds = 4
world {
  span = "3s"
  rate = 60
}
variant "module" {}
variant "random" { policy = "random" }
`

// TestRun_reproducible checks that a file gives the same rows regardless of the order in which its runs end, and that saved
// rows can be read and drawn again.
func TestRun_reproducible(t *testing.T) {
	file, err := Parse([]byte(smallExperiment), "small.hcl")
	if err != nil {
		t.Fatal(err)
	}
	steps := 0
	rows, err := Run(context.Background(), file, InVirtualTime, 4, "b", func() { steps++ })
	if err != nil || len(rows) != 8 || steps != 8 {
		t.Fatalf("%d rows, %d steps, %v", len(rows), steps, err)
	}
	again, _ := Run(context.Background(), file, InVirtualTime, 4, "b", func() {})
	if fmt.Sprint(again) != fmt.Sprint(rows) {
		t.Error("a second run of the file gives other rows")
	}
	dir := t.TempDir()
	if err := Save(dir, file.Title, rows); err != nil {
		t.Fatal(err)
	}
	title, stored, err := Read(dir)
	if err != nil || title != "small" || fmt.Sprint(stored) != fmt.Sprint(rows) {
		t.Errorf("read title %q, rows %v, error %v", title, stored, err)
	}
	saved, _ := os.ReadFile(filepath.Join(dir, "table.txt"))
	if err := Draw(dir, title, stored); err != nil {
		t.Fatal(err)
	}
	redrawn, _ := os.ReadFile(filepath.Join(dir, "table.txt"))
	if !bytes.Equal(saved, redrawn) || !strings.Contains(string(redrawn), "against module") {
		t.Errorf("table drawn again:\n%s\nwant\n%s", redrawn, saved)
	}
	if chart, err := os.ReadFile(filepath.Join(dir, "p99_ms.svg")); err != nil || !strings.Contains(string(chart), "<svg") {
		t.Errorf("no chart: %v", err)
	}
}

// TestRun_cancelled checks that Run returns the rows until then if its context is cancelled, here after 6 of 2000 runs.
func TestRun_cancelled(t *testing.T) {
	file, err := Parse([]byte(strings.Replace(smallExperiment, "seeds = 4", "seeds = 1000", 1)), "small.hcl")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	finished := 0
	rows, err := Run(ctx, file, InVirtualTime, 4, "b", func() {
		if finished++; finished == 6 {
			stop()
		}
	})
	if err != context.Canceled || len(rows) < 6 || len(rows) > 100 {
		t.Errorf("%d rows, %v", len(rows), err)
	}
}

// TestParse_invalidFile checks that a mistake in a file is reported with line and column.
func TestParse_invalidFile(t *testing.T) {
	for _, test := range []struct{ from, to, want string }{
		{`seeds = 4`, `seeds = 0`, "x.hcl:2:9: Bad experiment: seeds"},
		{`policy = "random"`, `policy = "luck"`, `x.hcl:8:1: Bad experiment: There is no policy "luck"`},
		{`variant "random"`, `variant "module"`, `x.hcl:8:1: Bad experiment: There are two variants`},
		{`rate = 60`, `rate = -1`, "x.hcl:7:1: Bad experiment: span, rate"},
		{`rate = 60`, `speed = 1`, "x.hcl:5:3: Unsupported argument"},
		{`span = "3s"`, `span = "long"`, "x.hcl:7:1: Bad experiment: span: time"},
	} {
		text := strings.Replace(smallExperiment, test.from, test.to, 1)
		if _, err := Parse([]byte(text), "x.hcl"); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: error %v, want %s", test.to, err, test.want)
		}
	}
}

// TestDifference_significance checks that a difference within the noise is not significant, and that a difference of 0.11, beyond the noise, is.
func TestDifference_significance(t *testing.T) {
	var base, noisy, better []Row
	for seed := range uint64(20) {
		x := float64(seed%7) / 10
		base = append(base, Row{Seed: seed, Service: x})
		noisy = append(noisy, Row{Seed: seed, Service: x + float64(seed%2)/100 - 0.005})
		better = append(better, Row{Seed: seed, Service: x + 0.1 + float64(seed%3)/100})
	}
	service := func(row Row) float64 { return row.Service }
	if summary, significant := Difference(base, noisy, service); significant {
		t.Errorf("noise is significant: %+v", summary)
	}
	if summary, significant := Difference(base, better, service); !significant || summary.Mean < 0.1 || summary.N != 20 {
		t.Errorf("difference of 0.11: %+v, significant %v", summary, significant)
	}
}

// TestLoad_scenarios checks that the experiments in scenarios can be loaded.
func TestLoad_scenarios(t *testing.T) {
	files, _ := filepath.Glob("../../scenarios/*.hcl")
	if len(files) < 3 {
		t.Fatalf("found %v", files)
	}
	for _, path := range files {
		if _, err := Load(path); err != nil {
			t.Error(err)
		}
	}
}

// TestRun_paperPolicyOrder checks that the policies rank as in the paper: with network delays from 250 ms LUD is faster than LU by a
// twentieth, LU faster than round robin, and round robin faster than random choice by a tenth. Without delay LUD and LU differ by 0.01 at most.
// The utilisation is 0.8, within 0.04, throughout.
func TestRun_paperPolicyOrder(t *testing.T) {
	file, err := Load("../../scenarios/paper.hcl")
	if err != nil {
		t.Fatal(err)
	}
	file.Seeds = 8
	rows, err := Run(t.Context(), file, InVirtualTime, 4, "b", func() {})
	if err != nil {
		t.Fatal(err)
	}
	_, byVariant := rowsByVariant(rows)
	mean := func(variant string, of func(Row) float64) float64 {
		var values []float64
		for _, row := range byVariant[variant] {
			values = append(values, of(row))
		}
		return summarize(values).Mean
	}
	speed := func(variant string) float64 { return mean(variant, func(row Row) float64 { return row.Speed }) }
	for _, delay := range []string{"250ms", "500ms", "1s"} {
		if lud, lu, roundRobin, random := speed("LUD "+delay), speed("LU "+delay), speed("RR "+delay), speed("RAND "+delay); !(lud > 1.05*lu && lu > roundRobin && roundRobin > 1.1*random) {
			t.Errorf("at %s: LUD %.3f, LU %.3f, RR %.3f, RAND %.3f", delay, lud, lu, roundRobin, random)
		}
	}
	if lud, lu := speed("LUD 0ms"), speed("LU 0ms"); math.Abs(lud-lu) > 0.01 {
		t.Errorf("without a delay: LUD %.3f, LU %.3f", lud, lu)
	}
	for name := range byVariant {
		if utilisation := mean(name, func(row Row) float64 { return row.Used }); utilisation < 0.76 || utilisation > 0.84 {
			t.Errorf("%s: utilisation %.3f", name, utilisation)
		}
	}
}
