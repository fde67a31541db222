package routing

import (
	"context"
	"errors"
	"time"

	"brassdale/internal/decisions/endpointstate"
	"brassdale/internal/decisions/polling"
	"brassdale/scheduler"
)

// Discovery is a service that has the list of endpoints. Calls may be made concurrently.
type Discovery interface {
	// Call returns what is newer than the revision, or the full list for NoRevision. It blocks until discovery responds, the
	// context is cancelled or the deadline for the kind of call, which it keeps itself, has passed.
	Call(ctx context.Context, revision int64, kind polling.Kind) (ListUpdate, error)
	// Service returns the name of the service. Revisions of services of one name can be compared.
	Service() string
	// Close closes the connections that carry no call.
	Close()
}

// ListUpdate is the list of endpoints, or a change of it.
type ListUpdate struct {
	Revision        int64
	Complete        bool      // it is the full list: endpoints that are absent are gone
	BeforeWaitEnded bool      // a watch was answered before its wait was over
	ReceivedAt      time.Time // when the response began to arrive; zero for now
	Endpoints       []Endpoint
}

// listKind returns the kind of an update for the scheduler.
func (u *ListUpdate) listKind() scheduler.ListKind {
	if u.Complete {
		return scheduler.ListFull
	}
	return scheduler.ListDelta
}

// NoRevision is the revision to pass to Discovery.Call for the full list, without a wait for a change.
const NoRevision = endpointstate.UnknownRevision

// ListNotificationDeadline is how long after discovery has a change this dispatcher counts as notified of it at the latest. It is for
// packages that know nothing of polling.
const ListNotificationDeadline = polling.NotificationDeadline

// ErrDiscoveryRejected matches the error of a call that discovery rejected because it has too many.
var ErrDiscoveryRejected = errors.New("discovery rejected the call")

// discoveryService is a discovery service that is polled, or was polled before a change of services.
type discoveryService struct {
	discovery   Discovery
	revision    int64 // the last that was accepted; NoRevision for none
	answered    bool  // it has responded with a list
	fullListDue bool  // the next call is to ask for the full list: something of a response was not believed
}
