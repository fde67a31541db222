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
	Window = 10 * time.Second
	steps  = 10

	// MinRetries is how many further calls a window allows whatever the first calls were.
	MinRetries = 10

	// MaxAccounts bounds the accounts that have a budget of their own.
	MaxAccounts = 1024
)

// Budget counts calls. Make it with New.
type Budget struct {
	share    float64
	all      count
	classes  map[string]*count
	accounts map[string]*count
	others   count // accounts beyond the bound
	denied   int
}

// New makes a budget of so many further calls for each first one.
func New(share float64) *Budget {
	return &Budget{share: share, classes: map[string]*count{}, accounts: map[string]*count{}}
}

// SetRatio puts another share in force. What was counted stands.
func (b *Budget) SetRatio(share float64) { b.share = share }

// CountFirstAttempt counts a request's first call.
func (b *Budget) CountFirstAttempt(now time.Duration, class, account string) {
	for _, c := range b.counts(class, account) {
		c.at(now).first++
	}
}

// AllowRetry tells whether a request may have a further call, and counts it if so.
func (b *Budget) AllowRetry(now time.Duration, class, account string) bool {
	counts := b.counts(class, account)
	for _, c := range counts {
		first, further := c.sums(now)
		if float64(further+1) > b.share*float64(first)+MinRetries {
			b.denied++
			return false
		}
	}
	for _, c := range counts {
		c.at(now).further++
	}
	return true
}

// Denied is how many further calls were not allowed.
func (b *Budget) Denied() int { return b.denied }

func (b *Budget) counts(class, account string) [3]*count {
	c := b.classes[class]
	if c == nil {
		c = &count{}
		b.classes[class] = c // classes are the settings', so they are few
	}
	a := b.accounts[account]
	if a == nil {
		if a = &b.others; len(b.accounts) < MaxAccounts {
			a = &count{}
			b.accounts[account] = a
		}
	}
	return [3]*count{&b.all, c, a}
}

// count is a sliding window of calls.
type count struct {
	step  int64 // of the newest slot
	slots [steps]slot
}

type slot struct{ first, further int }

// at gives the slot of a time, and forgets those that are out of the window. Time does not go back.
func (c *count) at(now time.Duration) *slot {
	step := int64(now / (Window / steps))
	for n := min(step-c.step, steps); n > 0; n-- {
		c.slots[(step-n+1+steps)%steps] = slot{}
	}
	c.step = max(c.step, step)
	return &c.slots[c.step%steps]
}

func (c *count) sums(now time.Duration) (first, further int) {
	c.at(now)
	for _, s := range c.slots {
		first, further = first+s.first, further+s.further
	}
	return first, further
}
