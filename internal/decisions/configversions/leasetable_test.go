package configversions

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// TestLeaseTable_nameInUse checks that a second process of the same name gets no lease before the lease of the first one has expired,
// and that it then starts without acknowledged versions. If the first process has dropped its lease, the second gets one at once.
func TestLeaseTable_nameInUse(t *testing.T) {
	table := NewLeaseTable(2*timeStep, -100*timeStep)
	first := Dispatcher{Name: "n", Instance: "1", AcknowledgedVersion: 7}
	second := Dispatcher{Name: "n", Instance: "2", AcknowledgedVersion: 3}
	if err := errors.Join(table.Renew(first, 0), table.Renew(first, timeStep)); err != nil {
		t.Fatal(err)
	}
	if err := table.Renew(second, 3*timeStep); !errors.Is(err, ErrNameInUse) {
		t.Errorf("renewal within the lease of the first process: got %v, want ErrNameInUse", err)
	}
	if err := table.Renew(second, timeStep+2*timeStep+timeStep/10); err != nil {
		t.Error(err)
	}
	if may, waitsFor := table.MayPutInForce(7, 3*timeStep+timeStep/10); may || fmt.Sprint(waitsFor) != "[n]" {
		t.Errorf("versions acknowledged by the first process count for the second: may put in force %v, waits for %v", may, waitsFor)
	}
	table.LeaseDropped("n", "1", 0)
	if table.Renew(first, 4*timeStep) == nil {
		t.Error("the first process renewed its lease while the second one holds a lease")
	}
	table.LeaseDropped("n", "2", 0)
	if err := table.Renew(first, 4*timeStep); err != nil {
		t.Error(err)
	}
}

// TestLeaseTable_rejectsRenewalAfterLeaseDropped delivers a renewal after the notice that its process shuts down. The process must stay
// absent, and another process of the same name must get a lease at once.
func TestLeaseTable_rejectsRenewalAfterLeaseDropped(t *testing.T) {
	table := NewLeaseTable(time.Second, 0)
	dispatcher := Dispatcher{Name: "n7", Instance: "process"}
	if err := table.Renew(dispatcher, 1); err != nil {
		t.Fatal(err)
	}
	table.LeaseDropped(dispatcher.Name, dispatcher.Instance, 2)
	if err := table.Renew(dispatcher, 3); err == nil {
		t.Error("a process renewed a lease that it had dropped")
	}
	if absent := table.AbsentDispatchers(4); len(table.LeaseHolders(4)) != 0 || len(absent) != 1 || !absent[0].Left {
		t.Errorf("lease holders %v, want none; absent %v, want n7 as left", table.LeaseHolders(4), absent)
	}
	if err := table.Renew(Dispatcher{Name: "n7", Instance: "its successor"}, 5); err != nil {
		t.Errorf("renewal by its successor: %v", err)
	}
}
