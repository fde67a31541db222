package emulator

import (
	"math/rand/v2"
	"time"

	"brassdale/scheduler"
)

// endpoints returns the endpoint list as of now.
func (sim *simulation) endpoints() (endpoints []scheduler.WorkerInfo) {
	for _, worker := range sim.workers {
		endpoints = append(endpoints, worker.endpoint())
	}
	return endpoints
}

// endpoint returns the worker's entry in the endpoint list.
func (w *worker) endpoint() scheduler.WorkerInfo {
	return scheduler.WorkerInfo{ID: w.id, State: w.state, Cell: w.cell, Zone: w.zone, MachineKind: w.kind, Weight: w.listedWeight(), StartedAt: w.startedAt}
}

// publishWorker sends a worker's changed entry to all dispatchers, each after a delay of its own. A dispatcher without a
// subscription gets it with the full list when it subscribes.
func (sim *simulation) publishWorker(worker *worker) {
	endpoint := worker.endpoint()
	for _, dispatcher := range sim.dispatchers {
		sim.after(sim.updateDelay(dispatcher.random), func() {
			if dispatcher.subscribed {
				dispatcher.updateEndpoints(scheduler.ListDelta, []scheduler.WorkerInfo{endpoint})
			}
		})
	}
	for _, notify := range sim.workerListeners {
		notify(endpoint)
	}
}

// updateDelay draws how long discovery takes to notify a dispatcher of a change.
func (sim *simulation) updateDelay(random *rand.Rand) time.Duration {
	return time.Duration((0.5 + random.Float64()) * float64(sim.scenario.Discovery))
}

// publishWeights publishes the current weights of all ready workers, and again after weightInterval.
func (sim *simulation) publishWeights() {
	for _, worker := range sim.workers {
		if worker.state == scheduler.Ready && !worker.down {
			sim.publishWorker(worker)
		}
	}
	sim.after(weightInterval, sim.publishWeights)
}

const weightInterval = time.Second

// listedWeight returns the weight in the worker's entry: its slots, or with LiveWeights its slots / (1 + its load).
func (w *worker) listedWeight() float64 {
	if !w.sim.scenario.LiveWeights {
		return float64(w.slots)
	}
	return float64(w.slots) / (1 + float64(w.busySlots+len(w.queue))/float64(w.slots))
}
