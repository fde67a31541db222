package soak

import (
	"time"
)

// Times of the events that change a worker one or more times and then move discovery to a replica. The replica still shows the list as it was
// before the last change, and has revisions of its own.
const (
	minHistoryLag         = 2 * time.Second // of the replica
	maxHistoryLag         = 4 * time.Second
	firstChangeTime       = 600 * time.Millisecond  // from the first change of the worker to the second
	secondChangeTime      = 1400 * time.Millisecond // from the second to the third
	moveTime              = 1700 * time.Millisecond // from the last change to the move
	replicaRevisionOffset = 100000                  // added to the revisions of the replica
)

// runHistoryEvent runs an event that combines changes of a worker, or an outage, with idle clients or a move of discovery.
func (r *run) runHistoryEvent(event Event, until time.Time) error {
	switch event.Kind {
	case IdleClientsAtDrain:
		r.drainWorker(event.Worker)
		r.clients[event.Target].openIdleConnections(idleConnectionCount, until)
		return nil
	case IdleClientsAtOutage:
		var closed = make(chan struct{})
		go func() {
			defer close(closed)
			r.clients[event.Target].openIdleConnections(idleConnectionCount, until)
		}()
		r.runDiscoveryOutage(until)
		<-closed
		return nil
	case MoveAfterReturn:
		if !r.drainWorker(event.Worker) {
			return nil
		}
		time.Sleep(firstChangeTime)
		r.discovery.setPhase(r.worker(event.Worker), phaseActive, false)
		time.Sleep(secondChangeTime)
		r.discovery.setPhase(r.worker(event.Worker), phaseLeaving, false)
	case MoveAfterSecondEnd:
		if !r.drainWorker(event.Worker) {
			return nil
		}
		r.discovery.setPhase(r.worker(event.Worker), phaseLeft, false)
		time.Sleep(firstChangeTime)
		if err := r.restartWorker(event.Worker); err != nil {
			return err
		}
		time.Sleep(secondChangeTime)
		r.discovery.setPhase(r.worker(event.Worker), phaseLeft, false)
	case MoveAfterRestart:
		if err := r.restartWorker(event.Worker); err != nil {
			return err
		}
	}
	time.Sleep(moveTime)
	return r.dispatchers[event.Target].moveToRenumberedReplica(event.Step)
}

// moveToRenumberedReplica reloads a configuration that names a lagging replica of discovery with revisions of its own.
func (d *dispatcherProcess) moveToRenumberedReplica(lag time.Duration) error {
	if err := d.newDiscoveryAddress(replicaRevisionOffset); err != nil {
		return err
	}
	d.discovery.replicaView(d.number).injectFault(lag, 0, false, time.Now().Add(lag))
	return d.reload()
}
