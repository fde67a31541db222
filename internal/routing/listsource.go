package routing

import (
	"time"

	"brassdale/internal/decisions/cachetrust"
)

// SourceName is the name of the source of a list, as the admin API shows it.
type SourceName string

// The names of the sources.
const (
	SourceNone        SourceName = "none"
	SourceFile        SourceName = "known" // the platform's config file
	SourceCache       SourceName = "saved" // the endpoint cache
	SourcePredecessor SourceName = "predecessor"
	SourceDiscovery   SourceName = "discovery"
)

// ListSource describes the source of the list in use.
type ListSource struct {
	Name                 SourceName
	ConfirmedAt          time.Time                    // when the list was last known to be correct; zero for unknown
	TrustLevels          [cachetrust.Excluded + 1]int // number of endpoints of a cached list by trust level
	AwaitingConfirmation bool                         // a list of discovery was received that a second one must confirm
}

// Source returns the source of the list in use.
func (l *EndpointList) Source() ListSource {
	if source := l.source.Load(); source != nil {
		return *source
	}
	return ListSource{Name: SourceNone}
}

// SetSource sets the source of the list that the EndpointList was created with.
func (l *EndpointList) SetSource(source ListSource) { l.source.Store(&source) }
