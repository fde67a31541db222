package transport

import (
	"maps"
	"sync"
	"time"

	"brassdale/internal/protocol"
)

// InFlightIDs holds the Req-Id of each job that is open, at whichever front. A second job under the id of an open
// one is not let in: endpoints would take it for a copy of the first, whose client has done no wrong.
//
// While one process replaces another, the predecessor's table decides for both.
type InFlightIDs struct {
	mu   sync.Mutex
	open map[string]*PeerProcess // by whom: nil for this process
	pred *PeerProcess
}

// siblingAnswers is how long a predecessor has to say whether an id is free. One that is stuck for longer is taken to
// have none open that matter: its clients hear nothing either.
const siblingAnswers = 250 * time.Millisecond

// DelegateTo has the ids asked of a predecessor too, until it is gone.
func (o *InFlightIDs) DelegateTo(pred *PeerProcess) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pred = pred
}

// Reserve takes an id for the process that asks, nil for this one, and tells whether it was free here.
func (o *InFlightIDs) Reserve(id string, by *PeerProcess) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, taken := o.open[id]; taken {
		return false
	}
	if o.open == nil {
		o.open = map[string]*PeerProcess{}
	}
	o.open[id] = by
	return true
}

// Release gives back what the same process took.
func (o *InFlightIDs) Release(id string, by *PeerProcess) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if owner, taken := o.open[id]; taken && owner == by {
		delete(o.open, id)
	}
}

// ReleaseAll gives back all that a process had taken which is gone.
func (o *InFlightIDs) ReleaseAll(by *PeerProcess) {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.open, func(_ string, owner *PeerProcess) bool { return owner == by })
}

func (o *InFlightIDs) predecessor() *PeerProcess {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pred
}

func (o *InFlightIDs) take(id string) bool { return o.Reserve(id, nil) && o.confirm(id) }

// confirm has a predecessor agree to an id that was taken here; if it does not, the id is free again.
func (o *InFlightIDs) confirm(id string) bool {
	if pred := o.predecessor(); pred != nil {
		yes, heard := pred.Ask(protocol.HandoverMessage{ReserveID: id}, time.Now().Add(siblingAnswers))
		switch {
		case !heard: // nor will it answer for the next
			o.DelegateTo(nil)
		case !yes:
			o.Release(id, nil)
			return false
		}
	}
	return true
}

func (o *InFlightIDs) free(id string) {
	o.Release(id, nil)
	if pred := o.predecessor(); pred != nil {
		pred.Notify(protocol.HandoverMessage{ReleaseID: id})
	}
}
