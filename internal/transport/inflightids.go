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
	mu          sync.Mutex
	owners      map[string]*PeerProcess // by whom: nil for this process
	predecessor *PeerProcess
}

// peerAnswerTimeout is how long a predecessor has to say whether an id is free. One that is stuck for longer is taken to
// have none open that matter: its clients hear nothing either.
const peerAnswerTimeout = 250 * time.Millisecond

// DelegateTo has the ids asked of a predecessor too, until it is gone.
func (o *InFlightIDs) DelegateTo(pred *PeerProcess) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.predecessor = pred
}

// Reserve takes an id for the process that asks, nil for this one, and tells whether it was free here.
func (o *InFlightIDs) Reserve(id string, by *PeerProcess) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, taken := o.owners[id]; taken {
		return false
	}
	if o.owners == nil {
		o.owners = map[string]*PeerProcess{}
	}
	o.owners[id] = by
	return true
}

// Release gives back what the same process took.
func (o *InFlightIDs) Release(id string, by *PeerProcess) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if owner, taken := o.owners[id]; taken && owner == by {
		delete(o.owners, id)
	}
}

// ReleaseAll gives back all that a process had taken which is gone.
func (o *InFlightIDs) ReleaseAll(by *PeerProcess) {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.owners, func(_ string, owner *PeerProcess) bool { return owner == by })
}

func (o *InFlightIDs) currentPredecessor() *PeerProcess {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.predecessor
}

func (o *InFlightIDs) reserveEverywhere(id string) bool {
	return o.Reserve(id, nil) && o.confirmWithPredecessor(id)
}

// confirmWithPredecessor has a predecessor agree to an id that was taken here; if it does not, the id is free again.
func (o *InFlightIDs) confirmWithPredecessor(id string) bool {
	if pred := o.currentPredecessor(); pred != nil {
		yes, heard := pred.Ask(protocol.HandoverMessage{ReserveID: id}, time.Now().Add(peerAnswerTimeout))
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

func (o *InFlightIDs) releaseEverywhere(id string) {
	o.Release(id, nil)
	if pred := o.currentPredecessor(); pred != nil {
		pred.Notify(protocol.HandoverMessage{ReleaseID: id})
	}
}
