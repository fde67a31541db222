package polling

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// However a service answers, and however soon, a dispatcher calls it no more often than it is bound to.
func TestSchedule_callsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1e9, 0)
		rules := Rules{Dispatchers: rapid.SampledFrom([]int{1, 5, 300}).Draw(t, "dispatchers")}
		s, now, made := NewSchedule(start), start, 0
		s.Start(now)
		kinds := []string{"news at once", "nothing at once", "older", "refused", "broken", "any"}
		kind := rapid.SampledFrom(kinds).Draw(t, "answers")
		for now.Before(start.Add(30 * time.Second)) {
			at, _ := s.Next()
			if now.Before(at) {
				now = at
			}
			made++
			s.CallStarted(now, made, true, rules, rapid.Float64Range(0, 1).Draw(t, "chance"))
			now = now.Add(time.Millisecond)
			chance, answer := rapid.Float64Range(0, 1).Draw(t, "chance"), kind
			if kind == "any" {
				answer = rapid.SampledFrom(kinds[:5]).Draw(t, "answer")
			}
			switch answer {
			case "news at once":
				s.CallAnswered(now, made, time.Millisecond, true, true, rules, chance)
			case "nothing at once":
				s.CallAnswered(now, made, time.Millisecond, false, true, rules, chance)
			case "older":
				s.CallStale(now, made, rules, chance)
			case "refused":
				s.CallFailed(now, made, Rejected, rules, chance)
			default:
				s.CallFailed(now, made, Broken, rules, chance)
			}
		}
		most := 30*maxBurstCalls/2 + maxBurstCalls
		if kind == "nothing at once" || kind == "older" {
			most = 30
		}
		if made > most {
			t.Fatalf("%d calls in 30 s", made)
		}
	})
}

// An answer to a call that does not wait may be as old as the call.
func TestSchedule_deadlineFromCall(t *testing.T) {
	start, rules := time.Unix(1e9, 0), Rules{Dispatchers: 1}
	s := NewSchedule(start)
	s.Start(start)
	s.CallStarted(start, 1, true, rules, 0)
	s.CallAnswered(start.Add(2*time.Second), 1, 2*time.Second, true, false, rules, 0)
	if s.notificationDue != start.Add(NotificationDeadline) {
		t.Errorf("a change counts as told %v behind the call", s.notificationDue.Sub(start))
	}
}
