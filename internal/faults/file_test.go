package faults

import (
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestParseMistakes: the error lists all mistakes of a file, each with its position.
func TestParseMistakes(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"attributes": {
			"title = \"x\"\nprocesses = 3\nvoters = 2\nbound = \"2s\"\nspan = \"no\"\nevery = \"1s\"\nlongest = \"1s\"\nrate = 1\nproposals = \"1s\"\nfaults = [\"luck\"]\n",
			"x.hcl:5:8: Bad span: Expected a duration above 0, got \"no\".\n" +
				"x.hcl:3:10: Bad voters: Expected 0, 1, 3 or 5, and at most as many as processes.\n" +
				"x.hcl:10:10: Bad faults: Unknown kind \"luck\"; expected one of [cut one-way delayed resets freeze kill blank flapping reorder slow pace]."},
		"release and events": {
			"title = \"x\"\nprocesses = 3\nvoters = 0\nspan = \"1s\"\nrate = 0\n" +
				"release {\n at = \"x\"\n drained = 0.7\n anew = 0.6\n}\nevent {\n at = \"1s\"\n kind = \"luck\"\n process = 3\n}\nevent {\n at = \"1s\"\n kind = \"propose\"\n process = -1\n}\n",
			"x.hcl:1:1: Bad release: Expected drained and anew of at least 0 and together at most 1, and calls of at least 0.\n" +
				"x.hcl:1:1: Bad event: Unknown kind \"luck\", or process 3 out of range.\n" +
				"x.hcl:1:1: Bad release: Expected a duration above 0, got \"x\".\n" +
				"x.hcl:5:8: Bad rate: Expected a number above 0."},
		"zones": {
			"title = \"x\"\nprocesses = 3\nvoters = 0\nspan = \"1s\"\n" +
				"towns {\n zones = 1\n regions = 1\n boxes = 1\n load = 1\n headroom = 0\n return_in = \"1s\"\n fault \"lost\" {\n at = \"1s\"\n for = \"0s\"\n zone = 2\n }\n}\n",
			"x.hcl:1:1: Bad towns: Unknown fault \"lost\", or zone 2 or 0 out of range.\n" +
				"x.hcl:1:1: Bad towns: Expected at least 2 zones, at least 1 region and at most one for each zone, at least one box for each zone, a load above 0 and a headroom from 0 to less than 1.\n" +
				"x.hcl:1:1: Bad towns: Expected a duration above 0, got \"0s\"."},
	} {
		if _, err := Parse([]byte(c.text), "x.hcl"); err == nil || err.Error() != c.want {
			t.Errorf("%s: %v\nwant\n%s", name, err, c.want)
		}
	}
}

// TestPlan: every scenario of the repository gives a plan. With fewer processes there are fewer voters, still an odd number.
func TestPlan(t *testing.T) {
	paths, err := filepath.Glob("../../scenarios/fleet/*.hcl")
	if err != nil || len(paths) == 0 {
		t.Fatal(paths, err)
	}
	for _, path := range paths {
		file, err := Load(path)
		if err != nil {
			t.Fatal(err)
		}
		if plan := file.Plan(7, 0); plan.Seed != 7 || plan.Processes != file.Processes || plan.Voters != file.Voters || plan.Span <= 0 {
			t.Errorf("%s: %+v", path, plan)
		}
		for processes, voters := range map[int]int{1: 1, 2: 1, 3: 3, 4: 3, 9: 5} {
			if plan := file.Plan(7, processes); plan.Processes != processes || plan.Voters != min(voters, file.Voters) {
				t.Errorf("%s: %d voters of %d processes", path, plan.Voters, plan.Processes)
			}
		}
		if zones := file.Plan(7, 0).Zones; (zones != nil) != strings.HasSuffix(path, "failover.hcl") || zones != nil && zones.ReturnIn != 10*time.Second {
			t.Errorf("%s: zones %+v", path, zones)
		}
	}
}
