package protocol

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"brassdale/internal/routing"
	"brassdale/scheduler"
)

// TestHandover_clockAdjusted checks that a handover preserves the time of a notification within a second if the wall clock is adjusted
// meanwhile. The test simulates the adjustment with another year in the encoded handover.
func TestHandover_clockAdjusted(t *testing.T) {
	now := time.Now()
	settings := &Settings{}
	notifiedAt := now.Add(-200 * time.Millisecond)
	handover := Handover{Discovery: "d", Members: KnownMembers([]routing.Endpoint{{Address: "127.0.0.1:1", NotifiedAt: notifiedAt,
		WorkerInfo: scheduler.WorkerInfo{ID: "a", State: scheduler.Draining}}}, settings)}
	text, err := json.Marshal(handover)
	if err != nil {
		t.Fatal(err)
	}
	year := notifiedAt.Format("2006-")
	var decoded Handover
	if err := json.Unmarshal([]byte(strings.ReplaceAll(string(text), year, "2001-")), &decoded); err != nil {
		t.Fatal(err)
	}
	update, err := decoded.ListUpdate("d", settings)
	if err != nil {
		t.Fatal(err)
	}
	if off := update.Endpoints[0].NotifiedAt.Sub(notifiedAt); off < -time.Second || off > time.Second {
		t.Errorf("the time of the notification is off by %v", off)
	}
}
