package budgetleases

import (
	"testing"
	"time"
)

// TestLessee_usesItsLease checks that a lessee makes the uses that its lease permits, and after a pause of the process no more uses than
// it may make without a lease.
func TestLessee_usesItsLease(t *testing.T) {
	lessee := NewLessee(1, 0)
	lessee.ApplyLease(50, 0, leaseDuration, 0)
	use := func(from, to Instant) (uses int) {
		for now := from; now < to; now += time.Millisecond {
			if lessee.TryUse(now) {
				uses++
			}
		}
		return uses
	}
	if uses := use(0, time.Second); uses < 45 || uses > 51 {
		t.Errorf("%d uses in the first second, want 45 to 51", uses)
	}
	if demand := lessee.Demand(time.Second); demand < 300 {
		t.Errorf("1000 uses per second were tried, got demand %v, want at least 300", demand)
	}
	lessee.ApplyLease(50, time.Second, leaseDuration, time.Second)
	if uses := use(30*time.Second, 31*time.Second); uses > 3 { // paused for 29 s
		t.Errorf("%d uses in the second after a pause, want at most 3", uses)
	}
	if lessee.Denied() == 0 {
		t.Error("no use was denied, want some")
	}
}
