package configversions

import (
	"testing"
	"time"

	"brassdale/internal/decisions/canary"
	"brassdale/internal/decisions/failover"
	"brassdale/internal/decisions/voters"
	"brassdale/internal/testsupport"
)

// storedVersion returns a version with a value in each field.
func storedVersion(number uint64) Version {
	base := float64(number)
	return Version{
		Number: number, By: "by-1", Reason: "why-1", At: time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC),
		Rules:  Rules{RetryRatio: base + 0.1, RetriesAllowed: true, DetachedWorkers: []string{"worker-a", "worker-b"}, QuotaCaps: map[string]float64{"account-1": 0.25}},
		Canary: &canary.Rollout{Share: 0.5, MinDuration: 7, FailureMargin: 0.75},
	}
}

var (
	storedVoter     = voters.Voter{ID: 21, Name: "dispatcher-1", Address: "127.0.0.1:9001", Region: "region-1", Zone: "zone-1", Learner: true}
	storedZoneLimit = ZoneLimit{Zone: "zone-2", Share: 0.125, By: "by-2", Reason: "why-2", Force: true}
	storedPlan      = failover.Plan{Number: 31, Reasons: map[string]string{"zone-1": "why-3"},
		Shares: map[string]map[string][]failover.ZoneShare{"zone-1": {"class-1": {{Zone: "zone-3", Share: 0.625}}}}}
	storedDispatcher = Dispatcher{Name: "dispatcher-2", Instance: "instance-1", AcknowledgedVersion: 41, MessageFormat: 42, Epoch: 43, Address: "127.0.0.1:9002",
		Region: "region-2", Zone: "zone-4", VoterID: 44, JobsEnded: 45, JobsFailed: 46, PlanNumber: 47, DedicatedToControl: true}
)

// storedValues are the values that dispatchers store and exchange, by golden file; each field has a different value.
func storedValues() map[string]any {
	announced := storedVersion(2)
	return map[string]any{
		"record": Record{
			Epoch: 11, Revision: 12, InForce: storedVersion(1), Announced: &announced, History: []Version{storedVersion(3)},
			Withdrawn: []Withdrawal{{Version: storedVersion(4), Reason: "why-4"}}, Voters: []voters.Voter{storedVoter}, Plan: &storedPlan,
			ZoneLimits: []ZoneLimit{storedZoneLimit}, NextVoterID: 13,
		},
		"entry": Entry{ID: "entry-1", Announce: &announced, PutInForce: 51, Withdraw: 52, EndCanary: 53, Reason: "why-5",
			Voters: []voters.Voter{storedVoter}, Plan: &storedPlan, ZoneLimit: &storedZoneLimit},
		"member":  storedDispatcher,
		"absent":  AbsentDispatcher{Dispatcher: storedDispatcher, Left: true, AbsentFor: 61},
		"place":   voters.Status{Voter: storedVoter, SilentFor: 62, EntriesBehind: 63, IsLeader: true},
		"founder": voters.Founder{Incarnation: "incarnation-1", FoundingVoters: map[uint64]string{71: "incarnation-2"}},
	}
}

// TestStoredValues checks that the values written by the program of commit c2c1317 are read field by field, and that the same values
// are written as the same bytes.
func TestStoredValues(t *testing.T) {
	for name, want := range storedValues() {
		t.Run(name, func(t *testing.T) {
			testsupport.CheckAllSet(t, name, want)
			testsupport.CheckStored(t, "testdata/stored/"+name+".json", want)
		})
	}
}
