package program

import (
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/internal/transport"
)

// firstList is the endpoint list that this process starts with.
type firstList struct {
	known  routing.ListUpdate
	source routing.ListSource
	cached *routing.CachedStart // the list if it is from the endpoint cache, else nil; known is empty if this is set
}

// chooseFirstList returns the predecessor's list if discovery confirmed it, else the endpoint cache if it is usable, else the list in
// the platform's file. If the predecessor's confirmed list is invalid, it returns the list in the file.
func (d *dispatcher) chooseFirstList(in *inputs, clock routing.Clock) firstList {
	if in.predecessor.hasConfirmedList() {
		update, err := in.predecessor.handover.ListUpdate(in.config.Discovery, d.settings.Current())
		if err == nil {
			return firstList{known: update, source: routing.ListSource{Name: routing.SourcePredecessor, ConfirmedAt: time.Now()}}
		}
		d.log.Warn("predecessor's endpoint list not usable", "err", err)
		return d.listFromFile(in.config)
	}
	if cached := d.usableCache(clock); cached != nil {
		return firstList{cached: cached, source: routing.ListSource{Name: routing.SourceCache}}
	}
	return d.listFromFile(in.config)
}

// listFromFile returns the list in the platform's file, or an empty list if the file has none.
func (d *dispatcher) listFromFile(config *protocol.Config) firstList {
	if config.Known == nil {
		return firstList{source: routing.ListSource{Name: routing.SourceNone}}
	}
	return firstList{known: transport.NewListUpdate(config.Known, d.settings.Current()), source: routing.ListSource{Name: routing.SourceFile}}
}

// usableCache returns the routing.CachedStart of the endpoint cache; nil if there is no cached list, or if the list is too old.
func (d *dispatcher) usableCache(clock routing.Clock) *routing.CachedStart {
	if d.cache == nil {
		return nil
	}
	start := d.cache.cachedStart(clock)
	if start != nil && !start.Assessor.Usable() {
		age, _ := start.Assessor.Age() // 0 if it is unknown
		d.log.Warn("endpoint cache too old", "age", age)
		return nil
	}
	return start
}
