package scale

import (
	"bytes"
	"math"
	"strings"
	"testing"
)

// In the compared plans, all dispatchers that are not voters are real in the first and hollow in the second; so are the baseline dispatchers.
func TestComparisonPlans(t *testing.T) {
	f, err := Load("../../scenarios/scale/compare.hcl")
	if err != nil {
		t.Fatal(err)
	}
	real, hollow, err := f.ComparisonPlans(3, 0)
	if err != nil || real.Real() != 48 || real.Baseline != 4 || real.HollowBaseline != 0 || hollow.Real() != 0 || hollow.Baseline != 0 || hollow.HollowBaseline != 6 || real.Seed != 3 || hollow.Seed != 3 {
		t.Errorf("unexpected plans, or error %v\n%+v\n%+v", err, real, hollow)
	}
	if _, hollow, err := f.ComparisonPlans(3, 12); err != nil || hollow.Processes != 12 || hollow.HollowBaseline != 4 {
		t.Errorf("12 processes: unexpected plan, or error %v: %+v", err, hollow)
	}
	for want, wrong := range map[string]func(*File){
		"set_aside: ": func(f *File) { f.Dedicated = 4 },
		"bare: ":      func(f *File) { f.Baseline = 0 },
		"dispatchers: 356 real dispatchers are too many": func(f *File) { f.Dispatchers, f.Workers = 347, 60 },
	} {
		g := *f
		wrong(&g)
		if _, _, err := g.ComparisonPlans(1, 0); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, expected %q", err, want)
		}
	}
}

// Bytes, messages and processor time of all kinds together must agree, figures of a single kind need not. The compared processor time is
// the difference to baseline dispatchers of the same kind, real or hollow.
func TestCompare(t *testing.T) {
	run := func(hollow bool, bytes, messages, cpu float64) *Result {
		r := &Result{Dispatchers: 8, BytesMean: bytes, Messages: messages, BytesByKind: map[string]float64{"renewal": bytes, "raft": 0}, MessagesByKind: map[string]float64{"renewal": messages}}
		if hollow {
			r.Hollow, r.HollowCPU, r.HollowBaselineCPU = 8, cpu+1, 1
		} else {
			r.CPU, r.RealCPU = cpu, cpu+3
		}
		return r
	}
	for _, c := range []struct {
		bytes, messages, cpu float64
		want                 string
	}{{1, 1, 1, ""}, {1.14, 0.86, 1.14, ""}, {0.84, 1, 1, "all, B/s: the ratio of hollow to real dispatchers is 0.840"}, {1, 1.16, 1, "all, messages/s"}, {1, 1, 0.5, "control, CPU ms/s"}} {
		x := Compare([]*Result{run(false, 900, 9, 4), run(false, 1100, 11, 6)}, []*Result{run(true, 1000*c.bytes, 10*c.messages, 5*c.cpu), run(true, 1000*c.bytes, 10*c.messages, 5*c.cpu)})
		if err := x.Err(); (err == nil) != (c.want == "") || x.Agrees != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%+v: got error %v", c, err)
		}
		if len(x.Figures) != 5 || x.Figures[0].RealMean != 1000 || math.Abs(x.Figures[0].Ratio-c.bytes) > 1e-9 || x.Rounds != 2 {
			t.Errorf("unexpected comparison: %+v", x)
		}
		var out bytes.Buffer
		if err := x.Write(&out); err != nil || !strings.Contains(out.String(), "renewal") {
			t.Errorf("expected a table with renewal, got error %v and\n%s", err, out.String())
		}
	}
}
