package protocol

import (
	"testing"
	"time"

	"brassdale/internal/routing"
	"brassdale/internal/testsupport"
	"brassdale/scheduler"
)

// storedMessages are the messages of a handover between processes, by golden file; each field has a different value.
var storedMessages = map[string]any{
	"handover": Handover{
		Fronts: []string{"front-1", "front-2"}, Discovery: "127.0.0.1:8500", Revision: 11,
		Members: []KnownMember{{
			Member: Member{ID: "worker-a", HostPort: "127.0.0.1:3001", Locality: "zone-1", Flavor: "flavor-1",
				Cell: 2, Phase: "leaving", Size: 1.5, UpSinceMS: 901},
			NotifiedAt: time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC), NotifiedAgo: 12, StartedAgo: 13,
		}},
		Detached: []string{"worker-z"}, Relay: "127.0.0.1:8600", ListUnconfirmed: true,
		LearnedState: scheduler.LearnedState{
			Overcommit: 21.5, MeanStay: 22.5, MeanWork: 23.5,
			Classes: []scheduler.ClassStatistics{{WorkScale: 24.5, MeanLogRuntime: 25.5, Jobs: 26}},
			Workers: map[scheduler.WorkerID]scheduler.WorkerStatistics{
				"worker-a": {StartedAt: 31, Slots: 32.5, Increment: 33.5, Slowness: 34.5, SlownessJobs: 35.5, LastSignal: 36}},
		},
		Classes: map[string]scheduler.ClassStatistics{"class-1": {WorkScale: 41.5, MeanLogRuntime: 42.5, Jobs: 43}},
	},
	"held": HandoverUsage{Inbound: []int{51, 52}, Outbound: 53, OpenJobs: 54},
	"remembered": RememberedJob{
		Key: "key-1", ID: "id-1", Digest: []byte{61, 62}, Events: []Event{{ID: "id-2", Name: "name-1", Data: "data-1", Retry: 63}},
		Answer:   routing.Answer{Verdict: routing.Rejected, Result: []byte{64, 65}, RetryAfter: 66, DeadlinePassed: true},
		ForgetAt: time.Date(2026, 2, 3, 4, 5, 6, 7, time.UTC), ForgetIn: 67, Started: true,
	},
	"note": HandoverMessage{
		Handover: &Handover{Relay: "relay-1"}, Usage: &HandoverUsage{OpenJobs: 71}, Remembered: &RememberedJob{Key: "key-2"},
		Serving: true, QuestionID: 72, AnswerTo: 73, Yes: true, ReserveID: "take-1", ReleaseID: "free-1", Last: true,
		Worker: "worker-b", Detached: true, Key: "key-3", Relay: "relay-2",
	},
	"note-serving": HandoverMessage{Serving: true, Relay: "127.0.0.1:8601"},
	"note-answer":  HandoverMessage{AnswerTo: 81, Yes: true},
	"note-worker":  HandoverMessage{Worker: "worker-c", Detached: true},
}

// TestStoredMessages checks that the messages that the program of commit c2c1317 wrote are read, field by field, and that the same messages
// are written as the same bytes.
func TestStoredMessages(t *testing.T) {
	for name, want := range storedMessages {
		t.Run(name, func(t *testing.T) {
			if _, partial := want.(HandoverMessage); !partial {
				testsupport.CheckAllSet(t, name, want)
			}
			testsupport.CheckStored(t, "testdata/stored/"+name+".json", want)
		})
	}
	testsupport.CheckFieldsSet(t, "note", storedMessages["note"])
}
