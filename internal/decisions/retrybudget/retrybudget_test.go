package retrybudget

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever comes, further calls within any window stay within the share of the first ones and the floor, for all together,
// each class and each account, and the module remembers a bounded number of accounts.
func TestBudget_holdsInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 2).Draw(t, "share")
		b := New(share)
		type call struct {
			at             time.Duration
			further        bool
			class, account string
		}
		var calls []call
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "calls") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			c := call{now, rapid.Bool().Draw(t, "further"), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "class"), rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "account")}
			if !c.further {
				b.CountFirstAttempt(c.at, c.class, c.account)
			} else if !b.AllowRetry(c.at, c.class, c.account) {
				continue
			}
			calls = append(calls, c)
		}
		for _, of := range []func(call) bool{func(call) bool { return true }, func(c call) bool { return c.class == "a" }, func(c call) bool { return c.account == "x" }} {
			for end := range calls {
				if !of(calls[end]) || !calls[end].further {
					continue
				}
				first, further := 0, 0
				from := (int64(calls[end].at/(Window/windowSteps)) - windowSteps + 1) * int64(Window/windowSteps)
				for _, c := range calls[:end+1] {
					if int64(c.at) >= from && of(c) {
						if c.further {
							further++
						} else {
							first++
						}
					}
				}
				if float64(further) > share*float64(first)+MinRetries {
					t.Fatalf("%d further calls to %d first ones", further, first)
				}
			}
		}
	})
}

// A quiet dispatcher may repeat, a busy one by its share, and a window later all is as before.
func TestBudget_byExample(t *testing.T) {
	b := New(0.2)
	allowed := func(now time.Duration, n int) (got int) {
		for range n {
			if b.AllowRetry(now, "c", "a") {
				got++
			}
		}
		return got
	}
	if got := allowed(0, 100); got != MinRetries {
		t.Errorf("quiet: %d", got)
	}
	for range 1000 {
		b.CountFirstAttempt(time.Second, "c", "a")
	}
	if got := allowed(2*time.Second, 1000); got != 200 {
		t.Errorf("busy: %d more", got)
	}
	if got := allowed(Window+3*time.Second, 100); got != MinRetries || b.Denied() == 0 {
		t.Errorf("a window later: %d, %d denied", got, b.Denied())
	}
	for i := range 2 * MaxAccounts {
		b.CountFirstAttempt(time.Hour, "c", fmt.Sprint(i))
	}
	if len(b.accounts) > MaxAccounts {
		t.Errorf("%d accounts", len(b.accounts))
	}
}
