package brain_test

import (
	"fmt"
	"time"

	"brassdale/brain"
)

// From settings through list, request, report and outcome to the actions.
func Example() {
	d := brain.New(brain.Settings{
		Dispatchers: 1,
		Classes: []brain.Class{{
			Aim: 200 * time.Millisecond, Stretch: 2, Deadline: 5 * time.Second, Worth: 1,
			Effect: brain.Unsafe, Kind: -1,
		}},
		TellsStart: true, MaxAttempts: 3, AnswerSlack: 20 * time.Millisecond,
	}, 42)
	show := func(now time.Duration, ev brain.Event) {
		for _, a := range d.Handle(now, ev) {
			fmt.Printf("%T%+v\n", a, a)
		}
	}
	at := time.Hour // any clock that never goes back
	show(at, brain.Listed{Kind: brain.ListFull, Workers: []brain.WorkerInfo{{ID: "a"}, {ID: "b"}}})
	show(at, brain.Arrived{ID: 1, Slots: 1, Expires: at + 5*time.Second})
	show(at+time.Millisecond, brain.Finished{ID: 1, Worker: "a", Outcome: brain.Full})
	show(at+90*time.Millisecond, brain.Finished{ID: 1, Attempt: 1, Worker: "b", Outcome: brain.Served, Final: true,
		Report: &brain.Report{Busy: 0.1, Requests: -1, FreeSlots: 3}})
	// Output:
	// brain.Send{ID:1 Worker:a By:0s}
	// brain.Wake{Token:1 After:51ms}
	// brain.Send{ID:1 Worker:b By:0s}
}
