package program

import (
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/internal/transport"
)

// firstList is the endpoint list that this process begins with.
type firstList struct {
	known  routing.ListUpdate
	source routing.ListSource
	cached *routing.CachedStart // in place of known, which is empty then; nil unless the start is from the endpoint cache
}

// chooseFirstList returns the predecessor's list if discovery confirmed it, else the endpoint cache if it is usable, else the list in
// the platform's file. The file also stands in for a confirmed list of the predecessor that cannot be read.
func (d *dispatcher) chooseFirstList(in *inputs, clock routing.Clock) firstList {
	if in.predecessor.hasConfirmedList() {
		update, err := in.predecessor.handover.Update(in.config.Discovery, d.settings.Current())
		if err == nil {
			return firstList{known: update, source: routing.ListSource{Name: routing.SourcePredecessor, ConfirmedAt: time.Now()}}
		}
		d.log.Warn("predecessor's endpoint list not usable", "err", err)
		return d.listOfFile(in.config)
	}
	if cached := d.usableCache(clock); cached != nil {
		return firstList{cached: cached, source: routing.ListSource{Name: routing.SourceCache}}
	}
	return d.listOfFile(in.config)
}

// listOfFile returns the list in the platform's file, which may have none.
func (d *dispatcher) listOfFile(config *protocol.Config) firstList {
	if config.Known == nil {
		return firstList{source: routing.ListSource{Name: routing.SourceNone}}
	}
	return firstList{known: transport.NewListUpdate(config.Known, d.settings.Current()), source: routing.ListSource{Name: routing.SourceFile}}
}

// usableCache returns a start from the endpoint cache; nil where there is none, or its list is too old.
func (d *dispatcher) usableCache(clock routing.Clock) *routing.CachedStart {
	if d.cache == nil {
		return nil
	}
	start := d.cache.start(clock)
	if start != nil && !start.Assessor.Usable() {
		age, _ := start.Assessor.Age() // 0 where it is not known
		d.log.Warn("endpoint cache too old", "age", age)
		return nil
	}
	return start
}
