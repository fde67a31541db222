package scale

import (
	"os"
	"testing"
	"time"
)

const aloneFile = `title = "no jobs"
settle = "4s"
span = "10s"
bound = "1s"
regions = 3
zones = 3
workers = 18
teams = 5
dispatchers = 15
seats = 3
set_aside = 3
hollow = 12
processes = 3
changes {
  every = "1s"
  a_day = 790
}
`

// What is counted agrees with what the loopback interface carried, without the packets' headers, and with what links carry counted once. As
// all other traffic of the interface would be in its figure, the test runs alone: the Makefile runs it after the other tests.
func TestInterface(t *testing.T) {
	if os.Getenv("BRASSDALE_ALONE") == "" {
		t.Skip("it needs the loopback interface for itself: BRASSDALE_ALONE=1 says that it has it")
	}
	for name, linked := range map[string]bool{"without links": false, "with links": true} {
		t.Run(name, func(t *testing.T) {
			f, err := Parse([]byte(aloneFile), "x.hcl")
			p := points(t, f, err)[0].Plan
			p.SkipWorkerProbes, p.CountLinks = true, linked
			before, err := readMachineCounters()
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			idle, err := readMachineCounters()
			if err != nil {
				t.Fatal(err)
			}
			r, err := Play(t.Context(), p, options(t))
			if err != nil {
				t.Fatal(err)
			}
			checkSound(t, r)
			if r.WorkerProbes+r.Jobs > 0 {
				t.Errorf("%d probes of workers and %d jobs are in the interface's figure", r.WorkerProbes, r.Jobs)
			}
			x := r.Interface
			t.Logf("%+v", x)
			if x.Counted == 0 || x.CountedShare < 0.9 || x.CountedShare > 1.1 {
				t.Errorf("%.0f bytes a second were counted, %.0f were carried: %.3f of it; others had %.0f carried in the second before the start",
					x.Counted, x.Bytes, x.CountedShare, loopbackPayload(before, idle))
			}
			if carried := x.Links > 0; carried != linked {
				t.Errorf("links carried %.0f bytes a second", x.Links)
			}
		})
	}
}
