package routing

import (
	"maps"
	"sync"
	"time"

	"brassdale/internal/decisions/pacing"
)

// Ledger is the account of what became of the requests: each is entered once, where its one final answer is
// decided. It is read beside the core, which a reader never holds up.
type Ledger struct {
	mu sync.Mutex
	f  Figures
}

// Figures are a moment's numbers, counted from the start of the process.
type Figures struct {
	Classes                      map[string]Tally // by name; a class that is dropped keeps its own
	Dispatches                   int              // calls written to their last byte
	Concurrent                   int              // requests taken and not ended
	Targets, Avoided             int              // endpoints in the list, and those of them that get nothing now
	ReloadsTaken, ReloadsRefused int
	FailedUnsent                 int       // requests that failed and were never sent on, which the platform counts as refused
	RetriesDenied                int       // further calls that the budget did not allow
	RepeatsDenied                int       // further calls that the fleet did not allow
	DiscoveryCalls               int       // calls made for the list
	DiscoveryOverlaps            int       // of these, made while another was open
	DiscoveryFailures            int       // those of them that brought no list
	DiscoveryRefused             int       // of these, refused at once
	DiscoveryExpired             int       // of these, refused behind a wait for their turn
	ListHeard                    time.Time // when discovery last answered; zero while it has not
}

// Tally is what became of the requests of a class.
type Tally struct{ Served, Refused, Failed int }

// Figures gives a copy.
func (l *Ledger) Figures() Figures {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.f
	f.Classes = maps.Clone(f.Classes)
	return f
}

func (l *Ledger) enter(change func(*Figures)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.f.Classes == nil {
		l.f.Classes = map[string]Tally{}
	}
	change(&l.f)
}

func (f *Figures) count(class string, v Verdict) {
	t := f.Classes[class]
	switch v {
	case Served:
		t.Served++
	case Refused:
		t.Refused++
	default:
		t.Failed++
	}
	f.Classes[class] = t
}

// Class has a class stand in the account before it has had a request.
func (l *Ledger) Class(name string) {
	l.enter(func(f *Figures) {
		if _, stands := f.Classes[name]; !stands {
			f.Classes[name] = Tally{}
		}
	})
}

// Unheard counts a request that a front answered itself, before the module heard of it. What names a class that there
// never was is no job.
func (l *Ledger) Unheard(class string, v Verdict) {
	l.enter(func(f *Figures) {
		if _, had := f.Classes[class]; had {
			f.count(class, v)
		}
	})
}

// Dispatched counts a call that was written to its last byte.
func (l *Ledger) Dispatched() { l.enter(func(f *Figures) { f.Dispatches++ }) }

// Reloaded counts a new version of the platform's file, taken or not.
func (l *Ledger) Reloaded(taken bool) {
	l.enter(func(f *Figures) {
		if taken {
			f.ReloadsTaken++
		} else {
			f.ReloadsRefused++
		}
	})
}

// discoveryCalled counts a call for the list, and whether it is made while another is open.
func (l *Ledger) discoveryCalled(beside bool) {
	l.enter(func(f *Figures) {
		f.DiscoveryCalls++
		if beside {
			f.DiscoveryOverlaps++
		}
	})
}

// discoveryFailed counts a call that brought no list.
func (l *Ledger) discoveryFailed(how pacing.Failure) {
	l.enter(func(f *Figures) {
		f.DiscoveryFailures++
		switch how {
		case pacing.Rejected:
			f.DiscoveryRefused++
		case pacing.Expired:
			f.DiscoveryExpired++
		}
	})
}

func (l *Ledger) listHeard(at time.Time) { l.enter(func(f *Figures) { f.ListHeard = at }) }

func (l *Ledger) taken() { l.enter(func(f *Figures) { f.Concurrent++ }) }
func (l *Ledger) left()  { l.enter(func(f *Figures) { f.Concurrent-- }) }

func (l *Ledger) answered(class string, v Verdict, sent bool) {
	l.enter(func(f *Figures) {
		f.count(class, v)
		f.Concurrent--
		if v == Failed && !sent {
			f.FailedUnsent++
		}
	})
}

func (l *Ledger) listed(n int)  { l.enter(func(f *Figures) { f.Targets = n }) }
func (l *Ledger) denied(n int)  { l.enter(func(f *Figures) { f.RetriesDenied = n }) }
func (l *Ledger) repeatDenied() { l.enter(func(f *Figures) { f.RepeatsDenied++ }) }
func (l *Ledger) avoids(n int)  { l.enter(func(f *Figures) { f.Avoided = n }) }
