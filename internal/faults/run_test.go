package faults

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// buildDispatcher builds the dispatcher's program and returns its path.
func buildDispatcher(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "brassdale")
	if out, err := exec.Command("go", "build", "-o", binary, "brassdale/cmd/brassdale").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return binary
}

// TestFleet: five real processes run for a short time under drawn events of all kinds. Contradictions stay within the bound, no rule is
// broken, and every job is answered once.
func TestFleet(t *testing.T) {
	t.Parallel()
	f, err := Load("../../scenarios/fleet/agreement.hcl")
	if err != nil {
		t.Fatal(err)
	}
	binary := buildDispatcher(t)
	p := f.Plan(3, 5)
	p.Voters, p.Span, p.MeanInterval, p.MaxDuration, p.Bound, p.ProposalInterval = 3, 6*time.Second, 500*time.Millisecond, 2*time.Second, time.Second, 500*time.Millisecond
	r, err := Run(t.Context(), p, binary, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	if r.Bad() || r.Jobs < 100 || r.Versions == 0 || len(r.Faults) < 3 {
		t.Errorf("%+v", r)
	}
	if err := r.Chart(filepath.Join(t.TempDir(), "x.svg")); err != nil {
		t.Error(err)
	}
}
