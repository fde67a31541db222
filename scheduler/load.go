// The load values of workers, by their reports and the own requests there.

package scheduler

import (
	"math"
)

// slowdown is how much longer a job holds a slot here: 1 on the ordinary path; more for a cold worker, at first
// by its age, and for one whose jobs take much longer than like jobs elsewhere.
func (s *Scheduler) slowdown(w *worker) float64 {
	feared := -math.Log(s.warmupFactor(w)) // by the rules; most are better, which their jobs tell
	slow := math.Exp((w.slownessSum + w.runningSlownessSum + slownessPriorJobs*feared) / (w.slownessJobs + w.runningSlownessJobs + slownessPriorJobs))
	if feared == 0 && slow <= slowdownThreshold {
		return 1
	}
	return max(slow, 1)
}
