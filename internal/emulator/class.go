package emulator

import (
	"cmp"
	"math"
	"time"

	"brassdale/scheduler"
)

// Class is a class of jobs. A scenario without classes has one, taken from its Traffic.
type Class struct {
	Name                string
	Share               float64 // of the jobs, relative to the other classes
	Work                float64 // mean, in seconds at a slot of speed 1
	WorkLogStdDev       float64 // standard deviation of the logarithm of a job's work
	LatencyObjective    time.Duration
	ObjectiveStretch    float64 // an answer is in time within LatencyObjective + ObjectiveStretch x the job's work
	Deadline            time.Duration
	PriorityWeight      float64 // of a second of work
	Idempotency         scheduler.Idempotency
	DeduplicationScope  scheduler.DeduplicationScope // the group of workers that drops repeats of a key
	DeduplicationWindow time.Duration                // how long repeats of a key are dropped
	TwoSlotShare        float64                      // share of the jobs that take two slots
}

// effectiveClasses returns the configured classes, or the one class that the traffic's own settings describe.
func (t *Traffic) effectiveClasses() []Class {
	if len(t.Classes) > 0 {
		return t.Classes
	}
	return []Class{{Share: 1, Work: t.Work, WorkLogStdDev: t.WorkLogStdDev, LatencyObjective: t.LatencyObjective, ObjectiveStretch: t.ObjectiveStretch, Deadline: t.Deadline, PriorityWeight: 1,
		Idempotency: t.Idempotency, DeduplicationScope: scheduler.ScopeCell, DeduplicationWindow: t.DeduplicationWindow}}
}

// drawClass draws a job's class, and the work, slots, memory and work estimate that follow from it.
func (sim *simulation) drawClass(job *job) {
	traffic, random := &sim.scenario.Traffic, sim.classRandom
	if len(traffic.Classes) > 0 {
		totalShare := 0.0
		for i := range traffic.Classes {
			totalShare += traffic.Classes[i].Share
		}
		pick := random.Float64() * totalShare
		for i := range traffic.Classes {
			if pick -= traffic.Classes[i].Share; pick < 0 {
				job.class = i
				break
			}
		}
		class := &traffic.Classes[job.class]
		job.work = class.Work * math.Exp(class.WorkLogStdDev*random.NormFloat64()-class.WorkLogStdDev*class.WorkLogStdDev/2)
		if random.Float64() < class.TwoSlotShare {
			job.slots = 2
		}
	}
	if sim.tailFactor > 0 && random.Float64() < heavyTailShare {
		job.work *= sim.tailFactor
	}
	if traffic.Memory > 0 {
		job.memory = float64(job.slots) * traffic.Memory * math.Exp(memoryLogStdDev*random.NormFloat64()-memoryLogStdDev*memoryLogStdDev/2)
	}
	if traffic.WorkEstimates {
		job.workEstimate = time.Duration(job.work * math.Exp(estimateLogStdDev*random.NormFloat64()) * float64(time.Second))
	}
}

const (
	heavyTailShare    = 0.02 // share of the jobs that are heavy while a HeavyTail fault lasts
	memoryLogStdDev   = 0.4  // standard deviation of the logarithm of a job's memory
	estimateLogStdDev = 0.15 // standard deviation of the logarithm of a work estimate's error
)

// weightedWork returns a job's work, in seconds over all of its slots, times its class's priority weight.
func (sim *simulation) weightedWork(job *job) float64 {
	return sim.classOf(job).PriorityWeight * job.work * float64(job.slots)
}

// classOf returns a job's class.
func (sim *simulation) classOf(job *job) *Class { return &sim.classes[job.class] }

// classNameOf returns the name of a job's class.
func (sim *simulation) classNameOf(job *job) string {
	return cmp.Or(sim.classes[job.class].Name, className)
}

// className is the name of the class of a scenario that has only one class.
const className = "price-part"

// ClassName is the name of the class of a scenario that has only one class. It is the first part of the path of the scenario's jobs.
const ClassName = className
