package protocol

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"brassdale/internal/routing"
	"brassdale/scheduler"
)

// What a process hands to the one that replaces it holds though the wall clock is set in between: how long ago a drain was told,
// how long a job is remembered. Setting the clock is played by another year in the words that cross.
func TestHandoverOutlivesAStepOfTheClock(t *testing.T) {
	now := time.Now()
	p := &Settings{}
	told := now.Add(-200 * time.Millisecond)
	h := Handover{Discovery: "d", Members: KnownMembers([]routing.Endpoint{{Address: "127.0.0.1:1", NotifiedAt: told,
		WorkerInfo: scheduler.WorkerInfo{ID: "a", State: scheduler.Draining}}}, p)}
	text, err := json.Marshal(h)
	if err != nil {
		t.Fatal(err)
	}
	year := told.Format("2006-")
	var later Handover
	if err := json.Unmarshal([]byte(strings.ReplaceAll(string(text), year, "2001-")), &later); err != nil {
		t.Fatal(err)
	}
	u, err := later.Update("d", p)
	if err != nil {
		t.Fatal(err)
	}
	if off := u.Endpoints[0].NotifiedAt.Sub(told); off < -time.Second || off > time.Second {
		t.Errorf("the drain was told %v off", off)
	}
}
