package retrybudget

import "time"

// windowSteps is the number of steps of a Window.
const windowSteps = 10

// attemptWindow counts attempts in a sliding window. Times that are passed to its methods must not go back.
type attemptWindow struct {
	newestStep int64 // number of the newest step, counted from time 0
	steps      [windowSteps]attempts
}

// attempts are the attempts in a step.
type attempts struct{ first, retries int }

// stepAt returns the step of a time, and clears the steps that have left the window.
func (w *attemptWindow) stepAt(now time.Duration) *attempts {
	step := int64(now / (Window / windowSteps))
	for n := min(step-w.newestStep, windowSteps); n > 0; n-- {
		w.steps[(step-n+1+windowSteps)%windowSteps] = attempts{}
	}
	w.newestStep = max(w.newestStep, step)
	return &w.steps[w.newestStep%windowSteps]
}

// totals returns the attempts in the window that ends now.
func (w *attemptWindow) totals(now time.Duration) (first, retries int) {
	w.stepAt(now)
	for _, step := range w.steps {
		first, retries = first+step.first, retries+step.retries
	}
	return first, retries
}
