package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/decisions/voters"
	councillog "brassdale/internal/fleet/raftlog"
	"brassdale/internal/traffic"
)

// seat is this dispatcher's place in the council while it has one.
type seat struct {
	log   *councillog.Log
	stop  context.CancelFunc
	ended chan struct{}
	relay relay

	mu    sync.Mutex
	peers map[uint64]*peer
}

func (s *seat) id() uint64 {
	if s == nil {
		return 0
	}
	return s.log.VoterID()
}

// since gives what has changed since a revision, for who acts on it: a whole record goes without what was.
func (s *seat) since(era, revision uint64) (entries []configversions.Entry, whole *configversions.Record, toEra, to uint64) {
	entries, whole, toEra, to = s.log.EntriesSince(era, revision)
	if whole != nil {
		brief := whole.WithoutHistory()
		whole = &brief
	}
	return entries, whole, toEra, to
}

const (
	sitEvery   = 100 * time.Millisecond
	relayEvery = 10 * time.Millisecond // between two batches of questions to the leader
)

// sit takes the seat that this dispatcher has by what is known, and gives it up when it has none any more.
func (a *Agent) sit(ctx context.Context) {
	defer func() { a.stand("") }()
	for ; ctx.Err() == nil; pause(ctx, sitEvery) {
		a.mu.Lock()
		r, own := a.holder.Record(), a.seat
		a.mu.Unlock()
		if own != nil {
			mine := own.log.Record()
			_, has := r.Voter(own.id())
			_, had := mine.Voter(own.id()) // one that was there when its seat was given away has that in its own log
			if r.Epoch > mine.Epoch || len(r.Voters) > 0 && !has && r.NewerThan(mine) || len(mine.Voters) > 0 && !had {
				a.stand("another has the seat")
			}
			continue
		}
		if err := a.take(ctx, r); err != nil && ctx.Err() == nil {
			a.log.Warn("the seat in the council is not taken", "err", err)
			pause(ctx, time.Second)
		}
	}
}

// take opens the seat that a record, or the settings where there is none, gives this dispatcher.
func (a *Agent) take(ctx context.Context, r configversions.Record) error {
	first := uint64(a.s.VoterID)
	if len(r.Voters) > 0 {
		var s voters.Voter // the last that it was given: while it is given anew the one that it lost is still there
		for _, had := range r.Voters {
			if had.Address == a.address() && (had.Name == "" || had.Name == a.Name) && had.ID > s.ID {
				s = had
			}
		}
		if s.ID == 0 {
			return nil
		}
		if s.ID != first || r.Epoch > 0 {
			_, err := os.Stat(councillog.Path(a.s.Directory, s.ID))
			if err != nil && !s.Learner { // it has lost its file, with its votes
				return nil
			}
			return a.seated(ctx, s.ID, nil)
		}
	}
	if first == 0 {
		return nil
	}
	f, err := councillog.OpenFounder(a.s.Directory, first, nil)
	if err != nil {
		return err
	}
	a.mu.Lock()
	a.founder = &f
	a.mu.Unlock()
	if f.FoundingVoters == nil {
		others := map[uint64]voters.Founder{}
		for _, s := range a.s.founders() {
			if s.ID == first {
				continue
			}
			by, stop := context.WithDeadline(ctx, time.Now().Add(callWithin))
			status, text, err := Call(a.Meter.Call(by, traffic.Other), a.client, "http://"+a.s.reach(s.Address)+"/council/founder", nil, time.Now().Add(callWithin))
			stop()
			var o voters.Founder
			if err == nil && status == http.StatusOK && json.Unmarshal(text, &o) == nil && o.Incarnation != "" {
				others[s.ID] = o
			}
		}
		what, roll := voters.DecideFounding(first, f.Incarnation, others, len(a.s.Voters))
		switch what {
		case voters.WaitForFounders:
			return nil
		case voters.NotAFounder:
			a.said("this file is not the one that the council was founded with: the dispatcher goes on as a follower")
			return nil
		}
		if f, err = councillog.OpenFounder(a.s.Directory, first, roll); err != nil {
			return err
		}
		a.mu.Lock()
		a.founder = &f
		a.mu.Unlock()
		a.log.Info("council founded", "voters", len(roll))
	}
	return a.seated(ctx, first, a.s.founders())
}

// said logs what stands for long, once.
func (a *Agent) said(text string) {
	a.mu.Lock()
	had := a.turned == text
	a.turned = text
	a.mu.Unlock()
	if !had {
		a.log.Warn(text)
	}
}

// seated opens the seat's log and runs it.
func (a *Agent) seated(ctx context.Context, id uint64, founders []voters.Voter) error {
	ctx, stop := context.WithCancel(ctx)
	s := &seat{stop: stop, ended: make(chan struct{}), peers: map[uint64]*peer{}}
	log, err := councillog.Open(councillog.Options{VoterID: id, Founders: founders, Directory: a.s.Directory, Log: a.log,
		Send:          func(to uint64, m []byte) { a.send(ctx, s, to, m) },
		RecordChanged: func(r configversions.Record) { a.inLog(r) }, LeadershipChanged: a.elected})
	if err != nil {
		stop()
		return err
	}
	s.log = log
	s.relay.in = make(chan asked, mostAsking)
	a.mu.Lock()
	a.seat = s
	a.mu.Unlock()
	a.log.Info("seated", "seat", id)
	go a.relayed(ctx, s)
	go func() {
		defer close(s.ended)
		if err := log.Run(ctx); err != nil && ctx.Err() == nil {
			a.log.Error("this voter has stopped: the dispatcher goes on as a follower", "err", err)
		}
	}()
	return nil
}

// stand gives the seat up; its file too where another has the seat, as a seat is never taken twice.
func (a *Agent) stand(why string) {
	a.mu.Lock()
	s := a.seat
	a.seat, a.leads, a.trying, a.planner, a.treasury, a.register = nil, nil, nil, nil, nil, nil
	a.mu.Unlock()
	if s == nil {
		return
	}
	s.stop()
	<-s.ended
	if why != "" {
		a.log.Info("unseated", "seat", s.id(), "why", why)
		if err := os.Remove(councillog.Path(a.s.Directory, s.id())); err != nil {
			a.log.Warn("the seat's file stays", "err", err)
		}
	}
}

// inLog takes what the log has applied. It does not block.
func (a *Agent) inLog(r configversions.Record) {
	a.mu.Lock()
	a.holder.ApplyRecord(r)
	a.settled()
	close(a.news)
	a.news = make(chan struct{})
	a.mu.Unlock()
	wake(a.changed)
	wake(a.renewNow)
}

// send hands a message to another seat.
func (a *Agent) send(ctx context.Context, s *seat, to uint64, m []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.peers[to]
	if p == nil {
		p = &peer{out: make(chan []byte, mostBatch)}
		s.peers[to] = p
		go a.carry(ctx, s, to, p)
	}
	p.send(m)
}

// carry takes messages to another seat, as many as there are in one call. What is lost is sent again by the log.
func (a *Agent) carry(ctx context.Context, s *seat, to uint64, p *peer) {
	for {
		batch, ok := p.next(ctx)
		if !ok {
			return
		}
		// A seat that is new has an empty log, and has to answer a leader that may be none of the founders.
		r := s.log.Record()
		a.mu.Lock()
		if known := a.holder.Record(); known.NewerThan(r) {
			r = known
		}
		a.mu.Unlock()
		council := r.Voters
		if len(council) == 0 {
			council = a.s.founders()
		}
		i := slices.IndexFunc(council, func(o voters.Voter) bool { return o.ID == to })
		if i < 0 {
			continue // it has no seat any more
		}
		a.mu.Lock()
		a.counts.Calls++
		a.mu.Unlock()
		status, text, err := Call(a.Meter.Call(ctx, traffic.Raft), a.client, fmt.Sprintf("http://%s/council/messages?era=%d", a.s.reach(council[i].Address), r.Epoch), batch, time.Now().Add(callWithin))
		var got answer
		if err == nil && status == http.StatusGone && json.Unmarshal(text, &got) == nil && got.Era > r.Epoch {
			a.fenced(got.Era)
			return
		}
	}
}

// fenced ends this dispatcher's part in a council that is none any more.
func (a *Agent) fenced(era uint64) {
	a.log.Warn("the fleet has a newer council", "era", era)
	go a.stand("a newer council")
}
