// Package emulator is a model of the systems that brassdale serves: boxes, discovery, clients, the network between, and
// what goes wrong with them. It runs in virtual time, in one goroutine and with one source of chance for each thing that
// has any: the same scenario gives the same events, byte for byte, on any machine.
//
// It is a model, not a measurement of real boxes. Each part says in its comment what it leaves out.
package emulator

import (
	"errors"
	"fmt"
	"time"

	"brassdale/scheduler"
)

// Scenario is a works, its traffic and its troubles.
type Scenario struct {
	Seed        uint64
	Span        time.Duration // in which clients send; all is then run to its end
	Dispatchers int
	Traffic     Traffic
	Kinds       []Kind
	Bays        int // boxes are dealt out among them; one drops repeats of a key
	Network     Network
	Discovery   time.Duration // how late a change of the list is told, on average
	Calls       Calls         // to discovery, on sockets
	Reports     Reports
	SlowStart   SlowStart
	Store       Store
	Faults      []Fault
	Rules       Rules

	Queue       float64 // jobs for each slot that wait at a box at most; 0 for any number
	Keeps       bool    // boxes keep what waits when it is called off: it runs for nobody
	LiveWeights bool    // the list's weights fall with the load
	Pushed      bool    // lists are pushed: dispatchers need not ask
	Failover    Failover
}

// Traffic is what clients send.
type Traffic struct {
	Rate     float64 // jobs a second of all clients together
	Work     float64 // mean seconds of a job at a slot of speed 1
	Spread   float64 // of the logarithm of a job's work; 0 for exponentially distributed work
	Aim      time.Duration
	Stretch  float64 // an answer counts within Aim + Stretch x the job's work
	GiveUp   time.Duration
	Effect   scheduler.Idempotency
	Window   time.Duration // for which a bay drops repeats of a key
	Subjects int           // that jobs are about: a box keeps what it fetched for one; 0 for none
	Accounts []Account
	Users    int     // clients, each with one job handled at a time; 0 for any number
	Classes  []Class // in place of Work, Spread, Aim, Stretch, Effect and Window; GiveUp is then the longest
	Hints    bool    // clients give a good guess at the work
	Memory   float64 // units that a job needs for each slot, on average; 0 for none
	Retries  float64 // share of refused jobs whose client tries once more
}

// Account is a customer.
type Account struct {
	Name  string
	Share float64 // of the rate; shares count against each other
}

// Kind is a kind of box.
type Kind struct {
	Name     string
	Count    int
	Slots    int
	SpeedMin float64 // of a slot, drawn evenly for each box
	SpeedMax float64
	Sharing  bool // SpeedMin to SpeedMax are of the box, which works on so many jobs at once and turns further ones away
}

// Network is between dispatchers and boxes. Connections are not modelled: their cost is in Setup.
type Network struct {
	Delay time.Duration // one way, on average; exponentially distributed about half of it, and half fixed

	Regions    int           // zones are dealt out among them in their order; 0 for one
	Zones      int           // boxes and dispatchers are dealt out among them; 0 for one
	Cross      time.Duration // one way between zones
	CrossPrice float64       // of an attempt that crosses, in worth
	Handshake  float64       // ways there and back that a new connection takes first; 0 for no connections
	Idle       time.Duration // after which a connection is closed
	Most       int           // connections that a box takes; 0 for any number
}

// Reports are what a probe brings.
type Reports struct {
	Every time.Duration // a box's figures are refreshed so often
	Push  bool          // boxes that share tell their load by themselves, at each change
	Cost  time.Duration // of a slot's time, for each probe

	Answers bool          // reports come in answers, too
	Delay   time.Duration // and are so old
}

// SlowStart is how a box starts.
type SlowStart struct {
	Capacity float64       // a box begins at this share of its speed
	For      time.Duration // and is warm after so long
	Tip      float64       // sent more than this multiple of what it can do ...
	Fall     time.Duration // ... for so long, it falls over and stays down
}

// Store is where boxes fetch what a job is about.
type Store struct {
	Fetch float64       // mean seconds; 0 for nothing to fetch
	Slots int           // fetches at a time; 0 for any number
	Keep  time.Duration // a box keeps it for so long since it used it last
}

// FaultKind is a kind of fault.
type FaultKind uint8

const (
	Freeze     FaultKind = iota // takes jobs and probes, answers nothing; goes on afterwards where it stood
	Silent                      // answers probes, starts no job
	Slow                        // at a third of its speed
	Restart                     // loses all it has, and comes back cold after one second
	Drain                       // is listed as leaving, finishes what it has, and is gone at the end
	Unreported                  // reports come late by three seconds
	Reset                       // its connections break once, and what it had is lost; it goes on
	Partition                   // nothing reaches it and nothing comes from it; what was under way is reset once it is back
	ListDown                    // discovery ends its watches and turns all calls away; Share counts for nothing
	ListHung                    // discovery takes calls and answers none; the same
	Burst                       // the rate is Size times the usual; Share counts for nothing
	HeavyTail                   // a few jobs are Size times as heavy; the same
	ZoneLost                    // nothing reaches a zone's boxes, and they come back cold
	Apart                       // nothing goes between the dispatchers of zone From and the boxes of Zone
	Far                         // ways to and from a zone's boxes take Size times as long

	faultKinds = iota
)

// Fault befalls some boxes for a while.
type Fault struct {
	At    time.Duration
	For   time.Duration
	Kind  FaultKind
	Share float64 // of the boxes, at least one; counts for nothing with a zone
	Size  float64
	Zone  int // counted from 1; 0 for none
	From  int // likewise
}

// Rules are the limits that the dispatchers are told of and that the auditor holds.
type Rules struct {
	MaxAttempts int
	Slack       time.Duration // an answer so long after its client gave up still counts
	DrainGrace  time.Duration
	MayCopy     bool
	MayCancel   bool
}

// Usual gives the works that plays begin with which say nothing else.
func Usual(seed uint64) Scenario { return LlanelliWorks(seed) }

// LlanelliWorks is a works like the one that brassdale was made for, on a calm day.
func LlanelliWorks(seed uint64) Scenario {
	return Scenario{
		Seed: seed, Span: time.Minute, Dispatchers: 2, Bays: 3,
		Traffic: Traffic{Rate: 170, Work: 0.2, Spread: 0.7, Aim: 200 * time.Millisecond, Stretch: 2.5, GiveUp: 5 * time.Second,
			Effect: scheduler.IdempotentWithKey, Window: 7500 * time.Millisecond, Subjects: 400, Retries: 0.5,
			Accounts: []Account{{"deeside-aero", 0.23}, {"gwent-pumps", 0.19}, {"taff-marine", 0.18}, {"cwm-trailers", 0.18}, {"bryn-fixtures", 0.14}, {"ogwen-tools", 0.08}}},
		Kinds:     []Kind{{"new-box", 9, 5, 0.85, 1.1, false}, {"old-box", 4, 4, 0.64, 0.86, false}},
		Network:   Network{Delay: 500 * time.Microsecond, Cross: 15 * time.Millisecond, Idle: 5 * time.Second},
		Discovery: time.Second,
		Reports:   Reports{Every: 700 * time.Millisecond, Cost: time.Millisecond},
		SlowStart: SlowStart{Capacity: 0.14, For: 24 * time.Second, Tip: 3, Fall: 1500 * time.Millisecond},
		Store:     Store{Fetch: 0.05, Slots: 40, Keep: 30 * time.Second},
		Rules:     Rules{MaxAttempts: 4, Slack: 8 * time.Millisecond, DrainGrace: 500 * time.Millisecond, MayCopy: true, MayCancel: true},
	}
}

// Check tells what is wrong with a scenario.
func (s *Scenario) Check() error {
	workers := 0
	for i, k := range s.Kinds {
		if k.Count < 0 || k.Slots < 1 || k.SpeedMin <= 0 || k.SpeedMax < k.SpeedMin {
			return fmt.Errorf("kinds[%d]: needs slots, and speeds above 0 in order", i)
		}
		workers += k.Count
	}
	for i, f := range s.Faults {
		if sized := f.Kind == Burst || f.Kind == HeavyTail || f.Kind == Far; sized && f.Size <= 0 {
			return fmt.Errorf("faults[%d]: needs a size", i)
		}
		if zoned := f.Kind >= ZoneLost; zoned && (f.Zone < 1 || f.Zone > s.Network.Zones) {
			return fmt.Errorf("faults[%d]: needs a zone that there is", i)
		}
		if f.At < 0 || f.For <= 0 || f.Share <= 0 || f.Share > 1 || f.Kind >= faultKinds {
			return fmt.Errorf("faults[%d]: needs a time, a span and a share between 0 and 1", i)
		}
	}
	for i, c := range s.Traffic.Classes {
		if c.Share <= 0 || c.Work <= 0 || c.Aim <= 0 || c.GiveUp <= 0 || c.GiveUp > s.Traffic.GiveUp || c.PriorityWeight <= 0 {
			return fmt.Errorf("classes[%d]: needs a share, work, an aim, a give-up within the traffic's and a worth", i)
		}
	}
	switch {
	case workers == 0:
		return errors.New("no box")
	case s.Dispatchers < 1:
		return errors.New("no dispatcher")
	case s.Span <= 0 || s.Traffic.Rate <= 0 || s.Traffic.Work <= 0 || s.Traffic.GiveUp <= 0:
		return errors.New("span, rate, work and give-up must be above 0")
	case s.Bays < 1:
		return errors.New("no bay")
	case s.Rules.MaxAttempts < 1:
		return errors.New("no attempt allowed")
	}
	return nil
}
