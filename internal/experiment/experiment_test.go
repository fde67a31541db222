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

const smallExperiment = `title = "small"
seeds = 4
world {
  span = "3s"
  rate = 60
}
variant "module" {}
variant "random" { policy = "random" }
`

// TestRun: a file gives the same rows in whatever order the runs end, and stored rows can be drawn again.
func TestRun(t *testing.T) {
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
		t.Error("the same file gives other rows")
	}
	dir := t.TempDir()
	if err := Save(dir, file.Title, rows); err != nil {
		t.Fatal(err)
	}
	title, stored, err := Read(dir)
	if err != nil || title != "small" || fmt.Sprint(stored) != fmt.Sprint(rows) {
		t.Errorf("kept %q, %v, %v", title, stored, err)
	}
	before, _ := os.ReadFile(filepath.Join(dir, "table.txt"))
	if err := Draw(dir, title, stored); err != nil {
		t.Fatal(err)
	}
	after, _ := os.ReadFile(filepath.Join(dir, "table.txt"))
	if !bytes.Equal(before, after) || !strings.Contains(string(after), "against module") {
		t.Errorf("drawn again:\n%s", after)
	}
	if chart, err := os.ReadFile(filepath.Join(dir, "p99_ms.svg")); err != nil || !strings.Contains(string(chart), "<svg") {
		t.Errorf("no chart: %v", err)
	}
}

// TestStopped: if the context ends, Run returns the rows until then.
func TestStopped(t *testing.T) {
	file, err := Parse([]byte(strings.Replace(smallExperiment, "seeds = 4", "seeds = 1000", 1)), "small.hcl")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	played := 0
	rows, err := Run(ctx, file, InVirtualTime, 4, "b", func() {
		if played++; played == 6 {
			stop()
		}
	})
	if err != context.Canceled || len(rows) < 6 || len(rows) > 100 {
		t.Errorf("%d rows, %v", len(rows), err)
	}
}

// TestFaults: mistakes in a file are reported with line and column.
func TestFaults(t *testing.T) {
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
			t.Errorf("%s: %v, want %s", test.to, err, test.want)
		}
	}
}

// TestDifference: noise is not significant, a difference beyond the noise is.
func TestDifference(t *testing.T) {
	var a, b, c []Row
	for seed := range uint64(20) {
		x := float64(seed%7) / 10
		a, b, c = append(a, Row{Seed: seed, Service: x}), append(b, Row{Seed: seed, Service: x + float64(seed%2)/100 - 0.005}), append(c, Row{Seed: seed, Service: x + 0.1 + float64(seed%3)/100})
	}
	service := func(r Row) float64 { return r.Service }
	if summary, sure := Difference(a, b, service); sure {
		t.Errorf("nothing: %+v", summary)
	}
	if s, sure := Difference(a, c, service); !sure || s.Mean < 0.1 || s.N != 20 {
		t.Errorf("0.11: %+v, %v", s, sure)
	}
}

// TestScenarios: the experiments in scenarios can be loaded.
func TestScenarios(t *testing.T) {
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

// TestPaper: the paper's order of policies holds, LUD before LU before round robin before random where the network is slow; LUD and
// LU are alike without network delay, and the utilisation is at its target throughout.
func TestPaper(t *testing.T) {
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
		var x []float64
		for _, r := range byVariant[variant] {
			x = append(x, of(r))
		}
		return summarize(x).Mean
	}
	speed := func(variant string) float64 { return mean(variant, func(r Row) float64 { return r.Speed }) }
	for _, delay := range []string{"250ms", "500ms", "1s"} {
		if lud, lu, rr, rand := speed("LUD "+delay), speed("LU "+delay), speed("RR "+delay), speed("RAND "+delay); !(lud > 1.05*lu && lu > rr && rr > 1.1*rand) {
			t.Errorf("at %s: LUD %.3f, LU %.3f, RR %.3f, RAND %.3f", delay, lud, lu, rr, rand)
		}
	}
	if lud, lu := speed("LUD 0ms"), speed("LU 0ms"); math.Abs(lud-lu) > 0.01 {
		t.Errorf("without a delay: LUD %.3f, LU %.3f", lud, lu)
	}
	for name := range byVariant {
		if used := mean(name, func(r Row) float64 { return r.Used }); used < 0.76 || used > 0.84 {
			t.Errorf("%s: utilisation %.3f", name, used)
		}
	}
}
