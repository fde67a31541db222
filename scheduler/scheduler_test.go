package scheduler

import (
	"bufio"
	"os"
	"strings"
	"testing"
)

// TestSchedulerFile_sizeLimits checks the size limits of scheduler.go: 950 non-blank lines, and 110 characters per line.
func TestSchedulerFile_sizeLimits(t *testing.T) {
	file, err := os.Open("scheduler.go")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	nonBlank, number := 0, 0
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		number++
		if strings.TrimSpace(scanner.Text()) != "" {
			nonBlank++
		}
		if len([]rune(scanner.Text())) > 110 {
			t.Errorf("scheduler.go:%d is longer than 110 characters", number)
		}
	}
	if nonBlank > 950 || nonBlank == 0 {
		t.Errorf("scheduler.go has %d non-blank lines, want at most 950", nonBlank)
	}
}

// TestHandle_invalidEvents checks that invalid events are ignored: none causes a panic, an action on a request that does not exist or a
// second final answer.
func TestHandle_invalidEvents(t *testing.T) {
	for name, s := range map[string]Settings{"absent settings": {}, "plain": baseSettings()} {
		t.Run(name, func(t *testing.T) {
			driver := newDriver(t, s)
			for _, ev := range []Event{
				nil, TimerFired{Token: 999}, ClientLeft{ID: 5}, AttemptStarted{ID: 5}, AttemptProgressed{ID: 5, Attempt: -1},
				AttemptFinished{ID: 5, Attempt: 3, Outcome: Outcome(99)}, ProbeCompleted{Worker: "nobody", Outcome: Served},
				EndpointsUpdated{ListKind: ListKind(9)}, EndpointsUpdated{ListKind: ListFailed}, EndpointsUpdated{ListKind: ListFull},
			} {
				driver.handle(ev)
			}
			if n := countActions[Send](driver.allActions) + countActions[Reject](driver.allActions) + countActions[Fail](driver.allActions) + countActions[Cancel](driver.allActions); n > 0 {
				t.Errorf("expected no action on requests that do not exist, got %d", n)
			}
			driver.listWorkers(workers(2)...)
			id := driver.submit(1, 77)
			driver.handle(AttemptFinished{ID: 1, Attempt: 9, Worker: id, Outcome: Served, Final: true})
			driver.handle(AttemptFinished{ID: 1, Worker: id, Outcome: Served, Final: true})
			if actions := driver.handle(AttemptFinished{ID: 1, Worker: id, Outcome: Errored}); countActions[Fail](actions)+countActions[Reject](actions) > 0 {
				t.Error("a duplicate outcome caused a second final answer")
			}
		})
	}
}
