package retrybudget

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

// TestBudget_withinRatioInAnyWindow checks guarantees 1 and 2: for any sequence of attempts, the further attempts in any window are at most
// the ratio times the first ones plus MinRetries, for all requests together, for each class and for each account.
func TestBudget_withinRatioInAnyWindow(t *testing.T) {
	type attempt struct {
		at             time.Duration
		further        bool
		class, account string
	}
	property.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 2).Draw(t, "ratio")
		budget := New(ratio)
		var sent []attempt
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "attempts") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			next := attempt{now, rapid.Bool().Draw(t, "further"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class"),
				rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "account")}
			if !next.further {
				budget.CountFirstAttempt(next.at, next.class, next.account)
			} else if !budget.AllowRetry(next.at, next.class, next.account) {
				continue
			}
			sent = append(sent, next)
		}
		for _, counted := range []func(attempt) bool{
			func(attempt) bool { return true },
			func(a attempt) bool { return a.class == "a" },
			func(a attempt) bool { return a.account == "x" },
		} {
			for end, last := range sent {
				if !counted(last) || !last.further {
					continue
				}
				first, further := 0, 0
				from := (int64(last.at/(Window/windowSteps)) - windowSteps + 1) * int64(Window/windowSteps)
				for _, earlier := range sent[:end+1] {
					if int64(earlier.at) >= from && counted(earlier) {
						if earlier.further {
							further++
						} else {
							first++
						}
					}
				}
				if float64(further) > ratio*float64(first)+MinRetries {
					t.Fatalf("%d further attempts were allowed for %d first attempts", further, first)
				}
			}
		}
	})
}

// TestBudget_idleAndBusy checks guarantees 1 and 3: an idle dispatcher may retry MinRetries times, a busy one by the ratio, and after a
// window without attempts it is idle again; the number of accounts is bounded.
func TestBudget_idleAndBusy(t *testing.T) {
	budget := New(0.2)
	allowed := func(now time.Duration, retries int) (got int) {
		for range retries {
			if budget.AllowRetry(now, "c", "a") {
				got++
			}
		}
		return got
	}
	if got := allowed(0, 100); got != MinRetries {
		t.Errorf("idle: %d retries allowed, want MinRetries", got)
	}
	for range 1000 {
		budget.CountFirstAttempt(time.Second, "c", "a")
	}
	if got := allowed(2*time.Second, 1000); got != 200 {
		t.Errorf("busy: %d retries allowed, want 200", got)
	}
	if got := allowed(Window+3*time.Second, 100); got != MinRetries || budget.Denied() == 0 {
		t.Errorf("a window later: %d retries allowed, want MinRetries; %d denied, want some", got, budget.Denied())
	}
	for i := range 2 * MaxAccounts {
		budget.CountFirstAttempt(time.Hour, "c", fmt.Sprint(i))
	}
	if len(budget.accounts) > MaxAccounts {
		t.Errorf("%d accounts have a budget of their own, want at most MaxAccounts", len(budget.accounts))
	}
}
