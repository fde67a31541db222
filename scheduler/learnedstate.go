package scheduler

// LearnedState is what a scheduler has learned that also holds for its successor process.
type LearnedState struct {
	Overcommit          float64                       `json:"Allow"`   // share of a worker's slots
	MeanAttemptDuration float64                       `json:"Stay"`    // seconds from send to outcome of a served attempt
	MeanWork            float64                       `json:"Mean"`    // of a job, in slot-seconds
	Classes             []ClassStatistics             `json:"Classes"` // by number
	Workers             map[WorkerID]WorkerStatistics `json:"Workers"`
}

// ClassStatistics says how long jobs of a class run.
type ClassStatistics struct {
	WorkScale      float64 `json:"Scale"` // mean runtime in seconds, or as a multiple of the estimated work
	MeanLogRuntime float64 `json:"Usual"` // mean logarithm of the same value
	Jobs           int     `json:"Jobs"`  // number of served jobs
}

// WorkerStatistics is what was learned about the process of a worker that started at StartedAt.
type WorkerStatistics struct {
	StartedAt    Instant `json:"Since"`
	Slots        float64 `json:"Total"`     // the most slots seen; 0 if unknown
	Increment    float64 `json:"Increment"` // load of one slot while the slots are unknown
	Slowness     float64 `json:"Lag"`       // sum over jobs of log(runtime / usual runtime), decaying
	SlownessJobs float64 `json:"JobsOf"`    // number of these jobs, decaying like the sum
	LastSignal   Instant `json:"Heard"`     // last sign of life
}

// LearnedState returns what was learned so far.
func (s *Scheduler) LearnedState() LearnedState {
	learned := LearnedState{
		Overcommit: s.overcommit, MeanAttemptDuration: s.meanAttemptDuration, MeanWork: s.meanWork, Workers: map[WorkerID]WorkerStatistics{},
	}
	for _, class := range s.classes {
		learned.Classes = append(learned.Classes, ClassStatistics{
			WorkScale: class.workScale, MeanLogRuntime: class.meanLogRuntime, Jobs: class.jobs,
		})
	}
	for _, worker := range s.workers {
		if worker.State != Gone {
			learned.Workers[worker.ID] = WorkerStatistics{
				StartedAt: worker.StartedAt, Slots: worker.observedSlots, Increment: worker.increment,
				Slowness: worker.logSlownessSum, SlownessJobs: worker.slownessJobs, LastSignal: worker.lastSignal,
			}
		}
	}
	return learned
}

// onLearnedStateReceived adopts what an earlier process has learned. What it learned about a worker is adopted if the worker is
// listed and has not restarted since. Learned state without classes covers only workers, and does not make this process a
// successor.
func (s *Scheduler) onLearnedStateReceived(event LearnedStateReceived) {
	learned := event.LearnedState
	if len(learned.Classes) > 0 {
		s.tookOver = s.tookOver || !event.FromCache
		s.overcommit, s.meanAttemptDuration, s.meanWork = learned.Overcommit, learned.MeanAttemptDuration, learned.MeanWork
	}
	for number, class := range learned.Classes {
		if number < len(s.classes) {
			s.servedJobs += class.Jobs
			s.classes[number] = classState{
				workScale: class.WorkScale, meanLogRuntime: class.MeanLogRuntime, jobs: class.Jobs,
			}
		}
	}
	for id, statistics := range learned.Workers {
		if worker := s.workersByID[id]; worker != nil && worker.StartedAt <= statistics.StartedAt {
			worker.StartedAt, worker.increment = statistics.StartedAt, statistics.Increment
			worker.logSlownessSum, worker.slownessJobs = statistics.Slowness, statistics.SlownessJobs
			s.recordSlots(worker, statistics.Slots)
		}
	}
}
