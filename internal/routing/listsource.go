package routing

import (
	"time"

	"brassdale/internal/decisions/cachetrust"
)

// SourceName names where a list comes from, as the admin API shows it.
type SourceName string

// The names of the sources.
const (
	SourceNone        SourceName = "none"
	SourceFile        SourceName = "known" // the platform's file
	SourceCache       SourceName = "saved" // the endpoint cache
	SourcePredecessor SourceName = "predecessor"
	SourceDiscovery   SourceName = "discovery"
)

// ListSource says where the list that is in force comes from.
type ListSource struct {
	Name                 SourceName
	ConfirmedAt          time.Time                    // when it was last known to be true; zero for unknown
	TrustLevels          [cachetrust.Excluded + 1]int // endpoints of a cached list by their trust level
	AwaitingConfirmation bool                         // a list of discovery is doubted until a second one agrees
}

// Source returns where the list in force comes from.
func (l *EndpointList) Source() ListSource {
	if source := l.source.Load(); source != nil {
		return *source
	}
	return ListSource{Name: SourceNone}
}

// SetSource sets where the list comes from that the actor was made with.
func (l *EndpointList) SetSource(source ListSource) { l.source.Store(&source) }
