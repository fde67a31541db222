// Which worker takes a request.

package scheduler

// priorityDensity is what a request is worth for each unit of its work.
func (s *Scheduler) priorityDensity(r *request) float64 {
	worth := r.settings.Classes[r.class].PriorityWeight
	if s.settings.WeightByWork {
		return worth
	}
	return worth / max(s.classes[r.class].workScale, 1e-3)
}
