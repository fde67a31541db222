// Package retrybudget decides whether a further attempt of a request, a retry or a hedge, may be sent. The scheduler decides for each
// request separately; while a tenth of the workers fails, the further attempts of all requests together could double the load on the
// other workers. The budget limits further attempts to a share of the first attempts. The package does no I/O, reads no clock and starts
// no goroutine.
//
// Budget guarantees, over any Window, for all requests together, for the requests of each class and for the requests of each account:
//
//  1. Further attempts are at most the ratio times the first attempts, plus MinRetries.
//  2. An attempt that was denied does not count.
//  3. Memory is bounded: accounts beyond MaxAccounts share one budget.
package retrybudget

import "time"

const (
	// Window is the time over which attempts are counted, in steps of Window/windowSteps.
	Window = 10 * time.Second

	// MinRetries is how many further attempts a window allows without any first attempt.
	MinRetries = 10

	// MaxAccounts is how many accounts have a budget of their own.
	MaxAccounts = 1024
)

// Budget counts attempts. It is made by New, and is not safe for concurrent use. Times that are passed to its methods must not go back.
type Budget struct {
	ratio    float64
	total    attemptWindow
	classes  map[string]*attemptWindow
	accounts map[string]*attemptWindow
	overflow attemptWindow // accounts beyond MaxAccounts
	denied   int
}

// New returns a budget of ratio further attempts for each first one.
func New(ratio float64) *Budget {
	return &Budget{ratio: ratio, classes: map[string]*attemptWindow{}, accounts: map[string]*attemptWindow{}}
}

// SetRatio changes the ratio. Attempts that were counted still count.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// CountFirstAttempt counts the first attempt of a request.
func (b *Budget) CountFirstAttempt(now time.Duration, class, account string) {
	for _, window := range b.windowsOf(class, account) {
		window.stepAt(now).first++
	}
}

// AllowRetry reports whether a request may have a further attempt, and counts it if so.
func (b *Budget) AllowRetry(now time.Duration, class, account string) bool {
	windows := b.windowsOf(class, account)
	for _, window := range windows {
		first, retries := window.totals(now)
		if float64(retries+1) > b.ratio*float64(first)+MinRetries {
			b.denied++
			return false
		}
	}
	for _, window := range windows {
		window.stepAt(now).retries++
	}
	return true
}

// Denied returns how many further attempts were denied.
func (b *Budget) Denied() int { return b.denied }

// windowsOf returns the windows that an attempt counts in: of all requests, of its class and of its account. The classes are those in the
// settings, so they are few and need no bound.
func (b *Budget) windowsOf(class, account string) [3]*attemptWindow {
	ofClass := b.classes[class]
	if ofClass == nil {
		ofClass = &attemptWindow{}
		b.classes[class] = ofClass
	}
	ofAccount := b.accounts[account]
	if ofAccount == nil {
		if ofAccount = &b.overflow; len(b.accounts) < MaxAccounts {
			ofAccount = &attemptWindow{}
			b.accounts[account] = ofAccount
		}
	}
	return [3]*attemptWindow{&b.total, ofClass, ofAccount}
}
