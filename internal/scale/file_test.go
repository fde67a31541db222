package scale

import (
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

const sweepFile = `title = "x"
span = "10s"
regions = 2
zones = 4
workers = 20
dispatchers = 10
seats = 3
set_aside = 3
hollow = 8
changes {
  every = "2s"
  a_day = 790
}
fault "zone" {
  at = "2s"
  zone = 2
}
slope "workers" { of = [20, 40] }
`

// The error for each mistake in a file names file, line and column.
func TestFileMistakes(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`seats = 3`, `seats = 4`, "x.hcl:7:9: Bad seats: There must be 1, 3 or 5."},
		{`span = "10s"`, `span = "long"`, `x.hcl:2:8: Bad span: Expected a duration above 0, got "long".`},
		{`span = "10s"`, `span = "-1s"`, `x.hcl:2:8: Bad span`},
		{`span = "10s"`, "span = \"10s\"\nbound = \"10ms\"", `x.hcl:3:9: Bad bound: It must be at least 1s.`},
		{`span = "10s"`, "span = \"10s\"\nreplace = \"1s\"", `x.hcl:3:11: Bad replace`},
		{`span = "10s"`, "span = \"10s\"\nrest = \"10s\"", `x.hcl:3:8: Bad rest: It must be shorter than the span.`},
		{`span = "10s"`, "span = \"10s\"\nrate = -1", `x.hcl:3:8: Bad rate`},
		{`span = "10s"`, "span = \"10s\"\nbare = -1", `x.hcl:3:8: Bad bare`},
		{`span = "10s"`, "span = \"10s\"\nteams = -1", `x.hcl:3:9: Bad teams`},
		{`span = "10s"`, "span = \"10s\"\nseeds = -1", `x.hcl:3:9: Bad seeds`},
		{`span = "10s"`, "span = \"10s\"\naccelerators = 10", `x.hcl:3:16: Bad accelerators`},
		{`span = "10s"`, "span = \"10s\"\nprocesses = 2", `x.hcl:3:13: Bad processes`},
		{`regions = 2`, `regions = 5`, `x.hcl:3:11: Bad regions`},
		{`workers = 20`, `workers = 3`, `x.hcl:5:11: Bad workers`},
		{`workers = 20`, `workers = 4000`, `x.hcl:6:15: Bad dispatchers: 5 real dispatchers are too many with 4000 workers, at most 2`},
		{`set_aside = 3`, `set_aside = 0`, `x.hcl:8:13: Bad set_aside`},
		{`hollow = 8`, `hollow = 11`, `x.hcl:9:10: Bad hollow`},
		{`every = "2s"`, `every = "0s"`, `x.hcl:11:11: Bad every`},
		{`a_day = 790`, `a_day = 0`, `x.hcl:12:11: Bad a_day`},
		{`fault "zone"`, `fault "flood"`, `x.hcl:14:7: Bad kind: There is no kind "flood"`},
		{`at = "2s"`, `at = "soon"`, `x.hcl:15:8: Bad at`},
		{`zone = 2`, `zone = 5`, `x.hcl:16:10: Bad zone`},
		{`zone = 2`, `count = 2`, `x.hcl:16:11: Bad count: It is only for the fault "replaced".`},
		{`zone = 2`, `region = 1`, `x.hcl:16:12: Bad region`},
		{`slope "workers"`, "fault \"zone\" { at = \"1s\" }\nslope \"workers\"", `x.hcl:18:7: Bad kind: There is already a fault "zone".`},
		{`slope "workers"`, "fault \"replaced\" {\n at = \"1s\"\n for = \"1s\"\n count = 9\n}\nslope \"workers\"", `x.hcl:21:10: Bad count`},
		{`of = [20, 40]`, `of = []`, `x.hcl:18:24: Bad of: It must name sizes.`},
		{`of = [20, 40]`, `of = [20, 2]`, `x.hcl:18:24: Bad of: 2 workers, workers: There must be at least one for each zone.`},
		{`slope "workers"`, `slope "tides"`, `x.hcl:18:22: Bad of: 20 tides`},
		{`title = "x"`, `tide = "x"`, "x.hcl:1:1: Unsupported argument"},
	} {
		text := strings.Replace(sweepFile, c.old, c.new, 1)
		if text == sweepFile {
			t.Errorf("%q is not in the file", c.old)
			continue
		}
		if _, err := Parse([]byte(text), "x.hcl"); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got error %v, expected %q", c.new, err, c.want)
		}
	}
	if _, err := Parse([]byte(sweepFile), "x.hcl"); err != nil {
		t.Error(err)
	}
}

// A file has a run for each fault and each size with every seed. The number of real dispatchers is the same at all sizes.
func TestPoints(t *testing.T) {
	f, err := Parse([]byte("seeds = 2\n"+sweepFile), "x.hcl")
	if err != nil {
		t.Fatal(err)
	}
	all, err := f.Points(7, -1, 0)
	var names []string
	for _, p := range all {
		names = append(names, p.Name)
		if p.Plan.Real() != 2 || p.Plan.Processes != 4 || p.Plan.ChangeRateFactor() != 43200.0/790 {
			t.Errorf("unexpected plan: %+v", p)
		}
	}
	want := []string{"zone-s7", "d10-w20-z4-c5-s7", "d10-w40-z4-c5-s7", "zone-s8", "d10-w20-z4-c5-s8", "d10-w40-z4-c5-s8"}
	if err != nil || !slices.Equal(names, want) {
		t.Fatalf("got runs %v, expected %v: %v", names, want, err)
	}
	if x := all[3].Plan; x.Seed != 8 || x.Fault.Kind != ZoneLost || x.Fault.Zone != 1 || x.Span != 2*time.Second+defaultMeasuredAfter || x.Accelerators != 20 {
		t.Errorf("unexpected plan of the zone fault with seed 8: %+v", x)
	}
	if _, err := f.Points(1, 11, 0); err == nil {
		t.Error("expected an error for more hollow dispatchers than dispatchers, got none")
	}
}

// All scale scenario files of the repository are valid.
func TestScenarios(t *testing.T) {
	paths, err := filepath.Glob("../../scenarios/scale/*.hcl")
	if err != nil || len(paths) < 4 {
		t.Fatal(paths, err)
	}
	for _, path := range paths {
		f, err := Load(path)
		if err == nil {
			_, err = f.Points(1, -1, 0)
		}
		if err != nil {
			t.Error(err)
		}
	}
}
