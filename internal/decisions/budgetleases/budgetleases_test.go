package budgetleases

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const leaseDuration = 2 * time.Second

// usableRate is what all holders may use now, whether the dealer knows it or not.
func usableRate(holders []*Lessee, now []Clock) (all float64) {
	for i, h := range holders {
		all += h.Rate(now[i])
	}
	return all
}

// Whatever is asked, lost, late, doubled, frozen or led by another, with clocks that run a little apart: what is leased and what
// may be done without never exceeds the budget.
func TestLessor_neverExceedsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "dispatchers")
		s := Settings{RatePerSecond: 100, UnleasedShare: rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "free"), MaxLessees: n, LeaseDuration: leaseDuration}
		d := NewLessor(s, -time.Minute)
		var holders []*Lessee
		now := make([]Clock, n)
		pace := make([]float64, n)
		for i := range n {
			holders = append(holders, NewLessee(s.UnleasedRate(), 0))
			pace[i] = rapid.Float64Range(1-MaxClockDrift/2, 1+MaxClockDrift/2).Draw(t, "pace")
		}
		type answer struct {
			to    int
			rate  float64
			asked Clock
		}
		var late []answer
		leader := Clock(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "who")
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1: // time passes, for a frozen one too
				span := time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond
				leader += span
				for k := range now {
					now[k] += time.Duration(float64(span) * pace[k])
				}
			case 2, 3: // one asks, and the answer is on its way
				late = append(late, answer{i, d.Grant(fmt.Sprint(i), rapid.Float64Range(0, 300).Draw(t, "demand"), rapid.SampledFrom([]float64{0, 30}).Draw(t, "floor"), leader), now[i]})
			case 4: // an answer comes, perhaps again
				if len(late) > 0 {
					k := rapid.IntRange(0, len(late)-1).Draw(t, "answer")
					a := late[k]
					holders[a.to].ApplyLease(a.rate, a.asked, leaseDuration, now[a.to])
				}
			case 5: // one starts anew, and knows nothing
				holders[i] = NewLessee(s.UnleasedRate(), now[i])
			case 6: // another leads
				d = NewLessor(s, leader)
			}
			if got := usableRate(holders, now); got > s.RatePerSecond+1e-6 {
				t.Fatalf("%v of %v", got, s.RatePerSecond)
			}
			if given := d.Outstanding(leader); given > s.RatePerSecond+1e-6 {
				t.Fatalf("given %v of %v", given, s.RatePerSecond)
			}
		}
	})
}

// Deal gives all what they ask for, again and again, and the parts that come of it.
func grantRepeatedly(s Settings, demand, floor []float64) (parts []float64) {
	d := NewLessor(s, -time.Minute)
	parts = make([]float64, len(demand))
	for now := Clock(0); now < 10*leaseDuration; now += leaseDuration / 4 {
		for i := range demand {
			parts[i] = d.Grant(fmt.Sprint(i), demand[i], floor[i], now)
		}
	}
	return parts
}

// Parts are fair: who asks for little has it, the rest is alike among the others, floors first; tenfold demand at one is met from
// what others do not want within two leases.
func TestLessor_sharesFairly(t *testing.T) {
	s := Settings{RatePerSecond: 100, UnleasedShare: 0.1, MaxLessees: 4, LeaseDuration: leaseDuration}
	for _, c := range []struct{ demand, floor, want []float64 }{
		{[]float64{10, 10, 10, 10}, []float64{0, 0, 0, 0}, []float64{12.5, 12.5, 12.5, 12.5}},
		{[]float64{100, 100, 100, 100}, []float64{0, 0, 0, 0}, []float64{25, 25, 25, 25}},
		{[]float64{4, 100, 100, 0}, []float64{0, 0, 0, 0}, []float64{5, 46.25, 46.25, 2.5}},
		{[]float64{100, 100, 100, 100}, []float64{40, 0, 0, 0}, []float64{53.1, 15.6, 15.6, 15.6}},
	} {
		got := grantRepeatedly(s, c.demand, c.floor)
		for i := range got {
			if math.Abs(got[i]-c.want[i]) > 1.5 {
				t.Errorf("demand %v, floor %v: %v, not %v", c.demand, c.floor, got, c.want)
				break
			}
		}
	}
	d := NewLessor(s, -time.Minute)
	rate, met := 0.0, Clock(0)
	for now := Clock(0); now < 20*time.Second; now += leaseDuration / 4 {
		demand := []float64{7, 7, 7, 7}
		if now >= 10*time.Second {
			demand[0] = 70
		}
		for i := range demand {
			if got := d.Grant(fmt.Sprint(i), demand[i], 0, now); i == 0 {
				rate = got
			}
		}
		if now >= 10*time.Second && met == 0 && rate >= 70 {
			met = now - 10*time.Second
		}
	}
	if met == 0 || met > 2*leaseDuration {
		t.Errorf("tenfold demand is met after %v", met)
	}
}

// A holder uses what its lease gives, no more behind a freeze than in any second, and its own part when that has run out.
func TestLessee_usesItsLease(t *testing.T) {
	h := NewLessee(1, 0)
	h.ApplyLease(50, 0, leaseDuration, 0)
	use := func(from, to Clock) (n int) {
		for now := from; now < to; now += time.Millisecond {
			if h.TryUse(now) {
				n++
			}
		}
		return n
	}
	if n := use(0, time.Second); n < 45 || n > 51 {
		t.Errorf("%d in the first second", n)
	}
	if demand := h.Demand(time.Second); demand < 300 {
		t.Errorf("asked for 1000 a second: %v", demand)
	}
	h.ApplyLease(50, time.Second, leaseDuration, time.Second)
	if n := use(30*time.Second, 31*time.Second); n > 3 { // frozen for 29 s
		t.Errorf("%d in the second behind a freeze", n)
	}
	if h.Denied() == 0 {
		t.Error("nothing was denied")
	}
}
