package scale

import (
	"os"
	"testing"
	"time"
)

const interfaceFile = `title = "no jobs"
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

// The counted bytes agree with the bytes that the loopback interface carried, without packet headers. Bytes that links carry count once. Any other
// traffic on the interface would be in its figure, so the Makefile runs this test by itself, after the others.
func TestInterface(t *testing.T) {
	if os.Getenv("BRASSDALE_ALONE") == "" {
		t.Skip("needs a loopback interface without other traffic: set BRASSDALE_ALONE=1 if there is none")
	}
	for name, linked := range map[string]bool{"without links": false, "with links": true} {
		t.Run(name, func(t *testing.T) {
			f, err := Parse([]byte(interfaceFile), "x.hcl")
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
			r, err := Run(t.Context(), p, options(t))
			if err != nil {
				t.Fatal(err)
			}
			checkInvariants(t, r)
			if r.WorkerProbes+r.Jobs > 0 {
				t.Errorf("expected no probes of workers and no jobs, got %d and %d", r.WorkerProbes, r.Jobs)
			}
			x := r.Interface
			t.Logf("%+v", x)
			if x.Counted == 0 || x.CountedShare < 0.9 || x.CountedShare > 1.1 {
				t.Errorf("counted %.0f bytes/s of %.0f carried, a ratio of %.3f, expected 0.9 to 1.1; other processes sent %.0f bytes in the second before the start",
					x.Counted, x.Bytes, x.CountedShare, loopbackPayload(before, idle))
			}
			if carried := x.Links > 0; carried != linked {
				t.Errorf("unexpected bytes/s on links: %.0f", x.Links)
			}
		})
	}
}
