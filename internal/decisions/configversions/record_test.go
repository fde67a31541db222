package configversions

import (
	"errors"
	"fmt"
	"math"
	"testing"

	"brassdale/internal/decisions/canary"
)

// TestRecordApply checks that a rejected entry leaves the record unchanged, that any other entry increases its revision by one, and that
// invalid rules are rejected.
func TestRecordApply(t *testing.T) {
	announce := func(base uint64, rules Rules) Entry {
		return Entry{Announce: &Version{Number: base, Rules: rules}}
	}
	var record Record
	for _, step := range []struct {
		entry Entry
		want  error
	}{
		{announce(1, Rules{}), ErrNotNextVersion},
		{Entry{PutInForce: 1}, ErrNotAnnounced},
		{announce(0, Rules{RetryRatio: 0.2}), nil},
		{announce(0, Rules{}), ErrChangeInProgress},
		{Entry{PutInForce: 2}, ErrNotAnnounced},
		{Entry{PutInForce: 1}, nil},
		{Entry{PutInForce: 1}, ErrNotAnnounced},
		{announce(1, Rules{}), nil},
		{Entry{Withdraw: 2}, nil},
		{announce(1, Rules{}), ErrNotNextVersion},
		{announce(3, Rules{RetriesAllowed: true}), nil},
		{Entry{PutInForce: 4}, nil},
	} {
		next, err := record.Apply(step.entry)
		if !errors.Is(err, step.want) || err != nil && fmt.Sprint(next) != fmt.Sprint(record) || err == nil && next.Revision != record.Revision+1 {
			t.Fatalf("%+v: error %v, record %+v after %+v", step.entry, err, next, record)
		}
		record = next
	}
	if record.InForce.Number != 4 || !record.InForce.Rules.RetriesAllowed || len(record.History) != 2 {
		t.Errorf("record after all steps: %+v", record)
	}
	for _, invalid := range []Rules{{RetryRatio: math.NaN()}, {RetryRatio: 17}, {DetachedWorkers: []string{"a", "a"}}, {DetachedWorkers: []string{""}}} {
		if _, err := record.Apply(announce(4, invalid)); err == nil {
			t.Errorf("%+v was accepted", invalid)
		}
	}
}

// TestRecord_hidesCanaryFromOtherDispatchers checks that a dispatcher outside the canary does not act on the version, and that
// the version cannot be put in force before its canary has ended.
func TestRecord_hidesCanaryFromOtherDispatchers(t *testing.T) {
	lessee := NewLessee("n0", Record{})
	announced, err := Record{}.Apply(Entry{Announce: &Version{Rules: Rules{RetryRatio: 0.1, RetriesAllowed: true}, Canary: &canary.Rollout{Share: 1e-9, MinDuration: 1}}})
	if err != nil || !lessee.ApplyRecord(announced) || lessee.Acknowledged() != 0 || len(lessee.Effective(0).Versions) != 1 {
		t.Errorf("outside the canary: error %v, acknowledged %d, %+v", err, lessee.Acknowledged(), lessee.Effective(0))
	}
	if _, err := announced.Apply(Entry{PutInForce: 1}); !errors.Is(err, ErrCanaryRunning) {
		t.Error(err)
	}
	afterCanary, err := announced.Apply(Entry{EndCanary: 1})
	if err != nil || !lessee.ApplyRecord(afterCanary) || lessee.Acknowledged() != 1 || len(lessee.Effective(0).Versions) != 2 {
		t.Errorf("canary ended: error %v, %+v", err, lessee.Effective(0))
	}
}
