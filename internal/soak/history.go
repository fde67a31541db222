package soak

import (
	"time"
)

// The histories of a worker behind which discovery is moved to a replica that still shows a time before their end, with revisions of its own.
const (
	minHistoryLag    = 2 * time.Second // of the replica
	maxHistoryLag    = 4 * time.Second
	firstChangeTime  = 600 * time.Millisecond  // from the first change of the worker to the second
	secondChangeTime = 1400 * time.Millisecond // from the second to the third
	moveTime         = 1700 * time.Millisecond // from the last to the move
	replicaRevisions = 100000                  // what its revisions are higher by
)

// playHistoryEvent plays an event in which a change of a worker and something else come together.
func (r *run) playHistoryEvent(event Event, until time.Time) error {
	switch event.Kind {
	case IdleClientsAtDrain:
		r.drainWorker(event.Worker)
		r.clients[event.Target].openIdleConnections(idleClientCount, until)
		return nil
	case IdleClientsAtOutage:
		var crowd = make(chan struct{})
		go func() {
			defer close(crowd)
			r.clients[event.Target].openIdleConnections(idleClientCount, until)
		}()
		r.stopDiscovery(until)
		<-crowd
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

// moveToRenumberedReplica reloads a configuration that names a replica of discovery which lags, and has revisions of its own.
func (d *dispatcherProcess) moveToRenumberedReplica(lag time.Duration) error {
	if err := d.newDiscoveryAddress(replicaRevisions); err != nil {
		return err
	}
	d.discovery.replicaView(d.number).injectFault(lag, 0, false, time.Now().Add(lag))
	return d.reload()
}
