package routing

import (
	"context"
	"errors"
	"time"

	"brassdale/internal/decisions/endpointstate"
	"brassdale/internal/decisions/polling"
	"brassdale/scheduler"
)

// Discovery is a service that lists the endpoints. Calls may be made concurrently.
type Discovery interface {
	// Call returns the changes since the revision, or the full list for NoRevision. It blocks until discovery responds, the context
	// is cancelled, or the deadline for this kind of call has passed. Call enforces that deadline itself.
	Call(ctx context.Context, revision int64, kind polling.Kind) (ListUpdate, error)
	// Service returns the name of the service. Revisions of services with the same name can be compared.
	Service() string
	// Close closes the connections without a call in flight.
	Close()
}

// ListUpdate is the list of endpoints, or a change of it.
type ListUpdate struct {
	Revision        int64
	Complete        bool      // it is the full list: endpoints that are absent are gone
	BeforeWaitEnded bool      // a watch was answered before its wait time had ended
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

// ListNotificationDeadline is the time after a change at discovery by which this dispatcher counts as notified of it. It is for
// packages that do not import package polling.
const ListNotificationDeadline = polling.NotificationDeadline

// ErrDiscoveryRejected matches the error of a call that discovery rejected because it had too many calls.
var ErrDiscoveryRejected = errors.New("discovery rejected the call")

// discoveryService is a discovery service that is polled, or was polled before a change of services.
type discoveryService struct {
	discovery   Discovery
	revision    int64 // last accepted revision; NoRevision before the first
	answered    bool  // it has responded with a list
	fullListDue bool  // the next call must request the full list, because a part of a response was not accepted
}
