package faults

import (
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// TestParseMistakes: an error has all mistakes of a file, each with its place.
func TestParseMistakes(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"attributes": {
			"title = \"x\"\nprocesses = 3\nvoters = 2\nbound = \"2s\"\nspan = \"no\"\nevery = \"1s\"\nlongest = \"1s\"\nrate = 1\nproposals = \"1s\"\nfaults = [\"luck\"]\n",
			"x.hcl:5:8: Bad span: \"no\" is no duration above 0.\n" +
				"x.hcl:3:10: Bad voters: There must be 0, 1, 3 or 5, and no more than processes.\n" +
				"x.hcl:10:10: Bad faults: There is no kind \"luck\"; there are [cut one-way delayed resets freeze kill blank flapping reorder slow pace]."},
		"release and events": {
			"title = \"x\"\nprocesses = 3\nvoters = 0\nspan = \"1s\"\nrate = 0\n" +
				"release {\n at = \"x\"\n drained = 0.7\n anew = 0.6\n}\nevent {\n at = \"1s\"\n kind = \"luck\"\n process = 3\n}\nevent {\n at = \"1s\"\n kind = \"propose\"\n process = -1\n}\n",
			"x.hcl:1:1: Bad release: Shares are from 0 to 1 together, calls not below 0.\n" +
				"x.hcl:1:1: Bad event: There is no kind \"luck\", or no process 3.\n" +
				"x.hcl:1:1: Bad release: \"x\" is no duration above 0.\n" +
				"x.hcl:5:8: Bad rate: It must be above 0."},
		"zones": {
			"title = \"x\"\nprocesses = 3\nvoters = 0\nspan = \"1s\"\n" +
				"towns {\n zones = 1\n regions = 1\n boxes = 1\n load = 1\n headroom = 0\n return_in = \"1s\"\n fault \"lost\" {\n at = \"1s\"\n for = \"0s\"\n zone = 2\n }\n}\n",
			"x.hcl:1:1: Bad towns: There is no fault \"lost\", or no zone 2 or 0.\n" +
				"x.hcl:1:1: Bad towns: There must be zones in regions, a box for each, a load above 0 and a headroom from 0 to less than 1.\n" +
				"x.hcl:1:1: Bad towns: \"0s\" is no duration above 0."},
	} {
		if _, err := Parse([]byte(c.text), "x.hcl"); err == nil || err.Error() != c.want {
			t.Errorf("%s: %v\nwant\n%s", name, err, c.want)
		}
	}
}

// TestPlan: the scenarios of the repository give plans, and fewer processes have fewer voters, of which there is an odd number.
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
