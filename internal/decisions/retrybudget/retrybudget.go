// Package retrybudget decides whether a further outbound call of a request may be made: a budget over all requests, as a share
// of their first calls. What the module decides for one request is right for it; while a tenth of the endpoints fails, all
// requests' further calls together can double the load of the rest. Values in, verdicts out: no I/O, no clock, no goroutine.
//
// It promises, over any window, for all requests together and for those of each class and of each account:
//
//  1. Further calls are at most the share of the first calls, and a floor that lets a quiet dispatcher repeat at all.
//  2. A call that was not allowed costs nothing.
//  3. What it remembers is bounded: accounts beyond the bound share one account's budget.
package retrybudget

import "time"

const (
	// Window is the time over which calls are counted, in steps of Window/steps.
	Window      = 10 * time.Second
	windowSteps = 10

	// MinRetries is how many further calls a window allows whatever the first calls were.
	MinRetries = 10

	// MaxAccounts bounds the accounts that have a budget of their own.
	MaxAccounts = 1024
)

// Budget counts calls. Make it with New.
type Budget struct {
	ratio    float64
	total    attemptWindow
	classes  map[string]*attemptWindow
	accounts map[string]*attemptWindow
	overflow attemptWindow // accounts beyond the bound
	denied   int
}

// New makes a budget of so many further calls for each first one.
func New(ratio float64) *Budget {
	return &Budget{ratio: ratio, classes: map[string]*attemptWindow{}, accounts: map[string]*attemptWindow{}}
}

// SetRatio puts another share in force. What was counted stands.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// CountFirstAttempt counts a request's first call.
func (b *Budget) CountFirstAttempt(now time.Duration, class, account string) {
	for _, window := range b.windowsOf(class, account) {
		window.stepAt(now).first++
	}
}

// AllowRetry tells whether a request may have a further call, and counts it if so.
func (b *Budget) AllowRetry(now time.Duration, class, account string) bool {
	windows := b.windowsOf(class, account)
	for _, window := range windows {
		first, retries := window.totals(now)
		if float64(retries+1) > b.ratio*float64(first)+MinRetries {
			b.denied++
			return false
		}
	}
	for _, c := range windows {
		c.stepAt(now).retries++
	}
	return true
}

// Denied is how many further calls were not allowed.
func (b *Budget) Denied() int { return b.denied }

func (b *Budget) windowsOf(class, account string) [3]*attemptWindow {
	c := b.classes[class]
	if c == nil {
		c = &attemptWindow{}
		b.classes[class] = c // classes are the settings', so they are few
	}
	a := b.accounts[account]
	if a == nil {
		if a = &b.overflow; len(b.accounts) < MaxAccounts {
			a = &attemptWindow{}
			b.accounts[account] = a
		}
	}
	return [3]*attemptWindow{&b.total, c, a}
}

// attemptWindow is a sliding window of calls.
type attemptWindow struct {
	newestStep int64 // of the newest slot
	steps      [windowSteps]attempts
}

type attempts struct{ first, retries int }

// stepAt gives the slot of a time, and forgets those that are out of the window. Time does not go back.
func (c *attemptWindow) stepAt(now time.Duration) *attempts {
	step := int64(now / (Window / windowSteps))
	for n := min(step-c.newestStep, windowSteps); n > 0; n-- {
		c.steps[(step-n+1+windowSteps)%windowSteps] = attempts{}
	}
	c.newestStep = max(c.newestStep, step)
	return &c.steps[c.newestStep%windowSteps]
}

func (c *attemptWindow) totals(now time.Duration) (first, retries int) {
	c.stepAt(now)
	for _, s := range c.steps {
		first, retries = first+s.first, retries+s.retries
	}
	return first, retries
}
