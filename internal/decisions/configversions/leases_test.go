package configversions

import (
	"errors"
	"fmt"
	"testing"

	"brassdale/internal/decisions/canary"
)

// A second process of a name gets no lease before the first's has run out, and then counts as one that knows nothing; one
// that left gives way at once.
func TestLeaseTable_nameInUse(t *testing.T) {
	c := NewLeaseTable(2*timeStep, -100*timeStep)
	first, second := Dispatcher{Name: "n", Instance: "1", AcknowledgedVersion: 7}, Dispatcher{Name: "n", Instance: "2", AcknowledgedVersion: 3}
	if err := errors.Join(c.Renew(first, 0), c.Renew(first, timeStep)); err != nil {
		t.Fatal(err)
	}
	if err := c.Renew(second, 3*timeStep); !errors.Is(err, ErrNameInUse) {
		t.Errorf("within the first's lease: %v", err)
	}
	if err := c.Renew(second, timeStep+2*timeStep+timeStep/10); err != nil {
		t.Error(err)
	}
	if may, waits := c.MayPutInForce(7, 3*timeStep+timeStep/10); may || fmt.Sprint(waits) != "[n]" {
		t.Errorf("what the first acknowledged counts for the second: %v %v", may, waits)
	}
	c.LeaseDropped("n", "1", 0)
	if c.Renew(first, 4*timeStep) == nil {
		t.Error("an end of the first was taken for one of the second")
	}
	c.LeaseDropped("n", "2", 0)
	if err := c.Renew(first, 4*timeStep); err != nil {
		t.Error(err)
	}
}

// Of the dispatchers that a canary does not include nobody knows the version, which cannot be put in force before the canary
// is over.
func TestRecord_hidesCanaryFromOtherDispatchers(t *testing.T) {
	h := NewLessee("n0", Record{})
	announced, err := Record{}.Apply(Entry{Announce: &Version{Rules: Rules{RetryRatio: 0.1, RetriesAllowed: true}, Canary: &canary.Rollout{Share: 1e-9, MinDuration: 1}}})
	if err != nil || !h.ApplyRecord(announced) || h.Acknowledged() != 0 || len(h.Effective(0).Versions) != 1 {
		t.Errorf("%v, acknowledged %d, %+v", err, h.Acknowledged(), h.Effective(0))
	}
	if _, err := announced.Apply(Entry{PutInForce: 1}); !errors.Is(err, ErrCanaryRunning) {
		t.Error(err)
	}
	widened, err := announced.Apply(Entry{EndCanary: 1})
	if err != nil || !h.ApplyRecord(widened) || h.Acknowledged() != 1 || len(h.Effective(0).Versions) != 2 {
		t.Errorf("widened: %v, %+v", err, h.Effective(0))
	}
}
