package transport

import (
	"errors"
	"maps"
	"sync"
	"time"

	"brassdale/internal/protocol"
)

// InFlightIDs holds the Req-Id of each open job, over all frontends. A second job with the id of an open job is rejected: workers
// would take it for a copy of the first.
//
// During a handover both processes act as one dispatcher: an id is reserved in the successor's table and in the predecessor's
// table, which decides for both. Methods may be called from any goroutine. Methods that ask the predecessor block for
// peerAnswerTimeout at most. The zero value is empty and ready for use.
type InFlightIDs struct {
	mu          sync.Mutex
	owners      map[string]*PeerProcess // by id; nil for this process
	predecessor *PeerProcess            // nil if there is none
}

// peerAnswerTimeout is how long a question to the other process waits for the answer.
const peerAnswerTimeout = 250 * time.Millisecond

// DelegateTo sets the predecessor at which each id is reserved too. If it is nil, ids are reserved in this process only.
func (i *InFlightIDs) DelegateTo(predecessor *PeerProcess) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.predecessor = predecessor
}

// Reserve reserves an id in this process's table for a process; a nil owner is this process. It reports whether the id was free.
func (i *InFlightIDs) Reserve(id string, owner *PeerProcess) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, taken := i.owners[id]; taken {
		return false
	}
	if i.owners == nil {
		i.owners = map[string]*PeerProcess{}
	}
	i.owners[id] = owner
	return true
}

// Release releases an id in this process's table, if it is reserved for owner.
func (i *InFlightIDs) Release(id string, owner *PeerProcess) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if current, taken := i.owners[id]; taken && current == owner {
		delete(i.owners, id)
	}
}

// ReleaseAll releases all ids that are reserved for a process that has ended.
func (i *InFlightIDs) ReleaseAll(owner *PeerProcess) {
	i.mu.Lock()
	defer i.mu.Unlock()
	maps.DeleteFunc(i.owners, func(_ string, current *PeerProcess) bool { return current == owner })
}

// reserveEverywhere reserves an id for this process here and at the predecessor. The error is errIDInUse if it is reserved at one of
// them, and errPeerSilent if the predecessor does not answer. Then the id is reserved nowhere.
func (i *InFlightIDs) reserveEverywhere(id string) error {
	if !i.Reserve(id, nil) {
		return errIDInUse
	}
	return i.confirmWithPredecessor(id)
}

// confirmWithPredecessor takes an id that is reserved here, and reserves it at the predecessor. If it fails, with an error of
// reserveEverywhere, the id is released here. A predecessor that has ended has no open jobs.
func (i *InFlightIDs) confirmWithPredecessor(id string) error {
	predecessor := i.currentPredecessor()
	if predecessor == nil {
		return nil
	}
	free, err := predecessor.Ask(protocol.HandoverMessage{ReserveID: id}, time.Now().Add(peerAnswerTimeout))
	if err == nil && !free {
		err = errIDInUse
	}
	if err == nil || errors.Is(err, errPeerGone) {
		return nil
	}
	i.Release(id, nil)
	return err
}

// releaseEverywhere releases an id that reserveEverywhere reserved. It does not block.
func (i *InFlightIDs) releaseEverywhere(id string) {
	i.Release(id, nil)
	if predecessor := i.currentPredecessor(); predecessor != nil {
		predecessor.Notify(protocol.HandoverMessage{ReleaseID: id})
	}
}

func (i *InFlightIDs) currentPredecessor() *PeerProcess {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.predecessor
}
