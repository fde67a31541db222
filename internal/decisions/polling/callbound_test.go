package polling

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

// TestSchedule_callsBounded checks guarantee 5: the number of calls in 30 s is bounded for any responses, even if all are received at once.
func TestSchedule_callsBounded(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		start := time.Unix(1e9, 0)
		rules := Rules{Dispatchers: rapid.SampledFrom([]int{1, 5, 300}).Draw(t, "dispatchers")}
		schedule, now, calls := NewSchedule(start), start, 0
		schedule.Start(now)
		kinds := []string{"changed at once", "unchanged at once", "stale", "rejected", "broken", "any"}
		kind := rapid.SampledFrom(kinds).Draw(t, "answers")
		for now.Before(start.Add(30 * time.Second)) {
			at, _ := schedule.Next()
			if now.Before(at) {
				now = at
			}
			calls++
			schedule.CallStarted(now, calls, true, rules, rapid.Float64Range(0, 1).Draw(t, "chance"))
			now = now.Add(time.Millisecond)
			chance, answer := rapid.Float64Range(0, 1).Draw(t, "chance"), kind
			if kind == "any" {
				answer = rapid.SampledFrom(kinds[:5]).Draw(t, "answer")
			}
			switch answer {
			case "changed at once":
				schedule.CallAnswered(now, calls, time.Millisecond, true, true, rules, chance)
			case "unchanged at once":
				schedule.CallAnswered(now, calls, time.Millisecond, false, true, rules, chance)
			case "stale":
				schedule.CallStale(now, calls, rules, chance)
			case "rejected":
				schedule.CallFailed(now, calls, Rejected, rules, chance)
			default:
				schedule.CallFailed(now, calls, Broken, rules, chance)
			}
		}
		maxCalls := 30*maxBurstCalls/2 + maxBurstCalls
		if kind == "unchanged at once" || kind == "stale" {
			maxCalls = 30
		}
		if calls > maxCalls {
			t.Fatalf("%d calls in 30 s", calls)
		}
	})
}

// TestSchedule_deadlineFromCall checks that NotificationDeadline starts at the call, because a response to a call that does not wait may be
// as old as the call.
func TestSchedule_deadlineFromCall(t *testing.T) {
	start, rules := time.Unix(1e9, 0), Rules{Dispatchers: 1}
	schedule := NewSchedule(start)
	schedule.Start(start)
	schedule.CallStarted(start, 1, true, rules, 0)
	schedule.CallAnswered(start.Add(2*time.Second), 1, 2*time.Second, true, false, rules, 0)
	if schedule.notificationDue != start.Add(NotificationDeadline) {
		t.Errorf("a change counts as notified %v after the call, expected NotificationDeadline", schedule.notificationDue.Sub(start))
	}
}
