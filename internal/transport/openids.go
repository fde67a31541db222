package transport

import (
	"maps"
	"sync"
	"time"

	"brassdale/internal/protocol"
)

// OpenIDs holds the Req-Id of each job that is open, at whichever front. A second job under the id of an open
// one is not let in: endpoints would take it for a copy of the first, whose client has done no wrong.
//
// While one process replaces another, the predecessor's table decides for both.
type OpenIDs struct {
	mu   sync.Mutex
	open map[string]*Sibling // by whom: nil for this process
	pred *Sibling
}

// siblingAnswers is how long a predecessor has to say whether an id is free. One that is stuck for longer is taken to
// have none open that matter: its clients hear nothing either.
const siblingAnswers = 250 * time.Millisecond

// Follow has the ids asked of a predecessor too, until it is gone.
func (o *OpenIDs) Follow(pred *Sibling) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pred = pred
}

// Take takes an id for the process that asks, nil for this one, and tells whether it was free here.
func (o *OpenIDs) Take(id string, by *Sibling) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, taken := o.open[id]; taken {
		return false
	}
	if o.open == nil {
		o.open = map[string]*Sibling{}
	}
	o.open[id] = by
	return true
}

// Free gives back what the same process took.
func (o *OpenIDs) Free(id string, by *Sibling) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if owner, taken := o.open[id]; taken && owner == by {
		delete(o.open, id)
	}
}

// Forget gives back all that a process had taken which is gone.
func (o *OpenIDs) Forget(by *Sibling) {
	o.mu.Lock()
	defer o.mu.Unlock()
	maps.DeleteFunc(o.open, func(_ string, owner *Sibling) bool { return owner == by })
}

func (o *OpenIDs) predecessor() *Sibling {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pred
}

func (o *OpenIDs) take(id string) bool { return o.Take(id, nil) && o.confirm(id) }

// confirm has a predecessor agree to an id that was taken here; if it does not, the id is free again.
func (o *OpenIDs) confirm(id string) bool {
	if pred := o.predecessor(); pred != nil {
		yes, heard := pred.Ask(protocol.Note{Take: id}, time.Now().Add(siblingAnswers))
		switch {
		case !heard: // nor will it answer for the next
			o.Follow(nil)
		case !yes:
			o.Free(id, nil)
			return false
		}
	}
	return true
}

func (o *OpenIDs) free(id string) {
	o.Free(id, nil)
	if pred := o.predecessor(); pred != nil {
		pred.Tell(protocol.Note{Free: id})
	}
}
