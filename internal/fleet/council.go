package fleet

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"brassdale/internal/decisions/agreement"
	"brassdale/internal/decisions/failover"
	councillog "brassdale/internal/fleet/log"
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
	return s.log.Seat()
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
			has := slices.ContainsFunc(r.Council, func(s agreement.Seat) bool { return s.ID == own.id() })
			if r.Era > mine.Era || len(r.Council) > 0 && !has && r.Newer(mine) {
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
func (a *Agent) take(ctx context.Context, r agreement.Record) error {
	first := uint64(a.s.Seat)
	if len(r.Council) > 0 {
		var s agreement.Seat // the last that it was given: while it is given anew the one that it lost is still there
		for _, had := range r.Council {
			if had.Address == a.address() && (had.Name == "" || had.Name == a.Name) && had.ID > s.ID {
				s = had
			}
		}
		if s.ID == 0 {
			return nil
		}
		if s.ID != first || r.Era > 0 {
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
	f, err := councillog.Founder(a.s.Directory, first, nil)
	if err != nil {
		return err
	}
	a.mu.Lock()
	a.founder = &f
	a.mu.Unlock()
	if f.Roll == nil {
		others := map[uint64]agreement.Founder{}
		for _, s := range a.s.founders() {
			if s.ID == first {
				continue
			}
			by, stop := context.WithDeadline(ctx, time.Now().Add(callWithin))
			status, text, err := Call(by, a.client, "http://"+a.s.reach(s.Address)+"/council/founder", nil, time.Now().Add(callWithin))
			stop()
			var o agreement.Founder
			if err == nil && status == http.StatusOK && json.Unmarshal(text, &o) == nil && o.Incarnation != "" {
				others[s.ID] = o
			}
		}
		what, roll := agreement.Begin(first, f.Incarnation, others, len(a.s.Voters))
		switch what {
		case agreement.Wait:
			return nil
		case agreement.Spare:
			a.said("this file is not the one that the council was founded with: the dispatcher goes on as a follower")
			return nil
		}
		if f, err = councillog.Founder(a.s.Directory, first, roll); err != nil {
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
func (a *Agent) seated(ctx context.Context, id uint64, founders []agreement.Seat) error {
	ctx, stop := context.WithCancel(ctx)
	s := &seat{stop: stop, ended: make(chan struct{}), peers: map[uint64]*peer{}}
	log, err := councillog.Open(councillog.Options{Seat: id, Founders: founders, Directory: a.s.Directory, Log: a.log,
		Send:    func(to uint64, m []byte) { a.send(ctx, s, to, m) },
		Changed: func(r agreement.Record) { a.inLog(r) }, Leads: a.elected})
	if err != nil {
		stop()
		return err
	}
	s.log = log
	s.relay.in = make(chan asked, mostBatch)
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
	a.seat, a.leads, a.trying, a.planner = nil, nil, nil, nil
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
func (a *Agent) inLog(r agreement.Record) {
	a.mu.Lock()
	a.holder.Learned(r)
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
		r := s.log.Record()
		council := r.Council
		if len(council) == 0 {
			council = a.s.founders()
		}
		i := slices.IndexFunc(council, func(o agreement.Seat) bool { return o.ID == to })
		if i < 0 {
			continue // it has no seat any more
		}
		a.mu.Lock()
		a.counts.Calls++
		a.counts.Sent += uint64(len(batch))
		a.mu.Unlock()
		status, text, err := Call(ctx, a.client, fmt.Sprintf("http://%s/council/messages?era=%d", a.s.reach(council[i].Address), r.Era), batch, time.Now().Add(callWithin))
		var got answer
		if err == nil && status == http.StatusGone && json.Unmarshal(text, &got) == nil && got.Era > r.Era {
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

// elected is told by the log. A new leader begins without knowing of any lease.
func (a *Agent) elected(leads bool) {
	a.mu.Lock()
	a.leads, a.trying, a.planner = nil, nil, nil
	if leads {
		a.leads = agreement.NewCouncil(a.lease, a.now())
		if a.Failover != nil {
			s, regions := a.Failover.planner()
			a.planner = failover.NewPlanner(s, regions, a.holder.Record().Plan, a.now())
		}
	}
	a.mu.Unlock()
	a.log.Info("council", "leads", leads)
	wake(a.changed)
}

// lead does what the leader does by itself: versions whose time has come, trials, seats that are silent.
func (a *Agent) lead(ctx context.Context) {
	for ; ctx.Err() == nil; pause(ctx, leadEvery) {
		a.mu.Lock()
		s, leads := a.seat, a.leads
		a.mu.Unlock()
		if s == nil || leads == nil {
			continue
		}
		if e, ok := a.due(s, leads); ok {
			by, stop := context.WithDeadline(ctx, time.Now().Add(callWithin))
			if err := s.log.Propose(by, e); err == nil {
				a.log.Info("council's entry", "force", e.Force, "widen", e.Widen, "withdraw", e.Withdraw, "why", e.Why)
			}
			stop()
			continue
		}
		a.mu.Lock()
		present := leads.Present(a.now())
		a.mu.Unlock()
		places, next := s.log.Places(), s.log.Record().NextSeat
		if m, ok := agreement.Reseat(places, present, next, a.patience); ok {
			by, stop := context.WithDeadline(ctx, time.Now().Add(callWithin))
			err := s.log.Reseat(by, m)
			stop()
			a.log.Info("council's seats", "learns", m.Learn, "votes", m.Seat, "goes", m.Unseat, "err", err)
			pause(ctx, 5*sitEvery)
		}
	}
}

// due gives the entry whose time has come.
func (a *Agent) due(s *seat, leads *agreement.Council) (agreement.Entry, bool) {
	r := s.log.Record()
	v := r.Announced
	a.mu.Lock()
	defer a.mu.Unlock()
	if e, ok := a.plans(r, leads); ok {
		return e, true
	}
	if v == nil {
		return agreement.Entry{}, false
	}
	if v.Trial != nil {
		if a.trying == nil || a.trying.Version() != v.Number {
			a.trying = agreement.NewTrying(v.Number, a.now())
		}
		switch o, why := a.trying.Judge(v.Trial, a.now()); o {
		case agreement.Passed:
			return agreement.Entry{ID: rand.Text(), Widen: v.Number}, true
		case agreement.Stopped:
			return agreement.Entry{ID: rand.Text(), Withdraw: v.Number, Why: why}, true
		}
		return agreement.Entry{}, false
	}
	may, _ := leads.May(v.Number, a.now())
	return agreement.Entry{ID: rand.Text(), Force: v.Number}, may
}

// planEvery is how often the leader looks whether another plan is called for.
const planEvery = 250 * time.Millisecond

// plans gives the next plan, once all that hold leases act on the last: two plans at a time are in use, and no more; a.mu is
// held.
func (a *Agent) plans(r agreement.Record, leads *agreement.Council) (agreement.Entry, bool) {
	last := uint64(0)
	if r.Plan != nil {
		last = r.Plan.Number
	}
	if a.planner == nil || a.now() < a.planAt || !leads.Planned(last, a.now()) {
		return agreement.Entry{}, false
	}
	a.planAt = a.now() + planEvery
	for zone := range a.planner.Regions() {
		share := 1.0
		for _, h := range r.Holds {
			if h.Zone == zone {
				share = h.Share
			}
		}
		a.planner.Hold(zone, share)
	}
	if p, made := a.planner.Next(a.now()); made {
		a.log.Info("plan made", "number", p.Number, "why", fmt.Sprint(p.Why))
		return agreement.Entry{ID: rand.Text(), Plan: p}, true
	}
	return agreement.Entry{}, false
}

// hold has a zone held at a share of its capacity, where there is room for the rest elsewhere or it is forced.
func (a *Agent) hold(ctx context.Context, h agreement.Hold, passed bool) (answer, int) {
	a.mu.Lock()
	s, planner := a.seat, a.planner
	var shed, then float64
	known := false
	if planner != nil {
		shed, then = planner.Room(h.Zone, h.Share, a.now())
		_, known = planner.Regions()[h.Zone]
	}
	a.mu.Unlock()
	if planner == nil {
		return a.toLeader(ctx, "hold", h, passed)
	}
	room := fmt.Sprintf("%.1f slots' work a second is shed now, %.1f with %s at %g", shed, then, h.Zone, h.Share)
	switch {
	case !known:
		return answer{Why: fmt.Sprintf("there is no zone %q", h.Zone)}, http.StatusNotFound
	case then > shed+0.5 && !h.Force:
		return answer{Why: "no room elsewhere: " + room}, http.StatusConflict
	}
	by, stop := context.WithDeadline(ctx, time.Now().Add(3*callWithin))
	defer stop()
	if err := s.log.Propose(by, agreement.Entry{ID: rand.Text(), Hold: &h}); err != nil {
		return answer{Why: err.Error()}, http.StatusServiceUnavailable
	}
	return answer{Why: room}, http.StatusOK
}

// toLeader passes on what only the leader can do.
func (a *Agent) toLeader(ctx context.Context, what string, body any, passed bool) (answer, int) {
	a.mu.Lock()
	s := a.seat
	a.mu.Unlock()
	to := a.asks()
	if s != nil {
		if passed { // by one that thought this one leads
			return answer{Why: "does not lead"}, http.StatusMisdirectedRequest
		}
		r, leader := s.log.Record(), s.log.Leader()
		i := slices.IndexFunc(r.Council, func(o agreement.Seat) bool { return o.ID == leader })
		if i < 0 || leader == s.id() {
			return answer{Why: "nobody leads"}, http.StatusServiceUnavailable
		}
		to, what = r.Council[i], what+"?passed=1"
	}
	by, stop := context.WithDeadline(ctx, time.Now().Add(4*callWithin))
	defer stop()
	got, status, err := a.post(by, to.Address, what, body)
	if err != nil {
		return answer{Why: err.Error()}, http.StatusServiceUnavailable
	}
	return got, status
}

// grants gives leases to those who ask, if this seat leads. That somebody asked is noted first: a version waits for it from
// then on. Then a majority confirms who leads, so a leader that was cut off gives none.
func (a *Agent) grants(ctx context.Context, all []question) (answer, int) {
	a.mu.Lock()
	s, leads := a.seat, a.leads
	got := answer{Refused: map[string]string{}}
	if s != nil && leads != nil {
		r := s.log.Record()
		for _, q := range all {
			err := a.fits(q, r)
			if err == nil {
				err = leads.Renewed(q.Member, a.now())
			}
			if err != nil {
				got.Refused[q.Name] = err.Error()
				continue
			}
			if a.trying != nil {
				a.trying.See(q.Member)
			}
			if a.planner != nil && q.Report != nil {
				a.planner.Hear(*q.Report, a.now())
			}
		}
	}
	a.mu.Unlock()
	if s == nil {
		return answer{Why: "no seat"}, http.StatusMisdirectedRequest
	}
	if leads == nil {
		return answer{Leader: s.log.Leader(), Why: "does not lead"}, http.StatusMisdirectedRequest
	}
	if err := s.log.Confirm(ctx); err != nil {
		return answer{Why: err.Error()}, http.StatusServiceUnavailable
	}
	r := s.log.Record()
	got.Era, got.Revision, got.LeaseMS = r.Era, r.Revision, a.lease.Milliseconds()
	return got, http.StatusOK
}

// fits tells whether who asks can be of the fleet as it stands.
func (a *Agent) fits(q question, r agreement.Record) error {
	needs := r.InForce.Rules.Needs()
	if v := r.Announced; v != nil {
		needs = max(needs, v.Rules.Needs())
	}
	switch {
	case q.Era > r.Era:
		a.fenced(q.Era)
		return agreement.ErrOlder
	case q.Form < leastForm || q.Form < needs:
		return fmt.Errorf("form %d of messages: the fleet needs %d", q.Form, max(needs, leastForm))
	}
	return nil
}

// granted has one lease given: by this seat if it leads, else by the leader, asked by this seat for all that wait.
func (a *Agent) granted(ctx context.Context, q question) (answer, int) {
	a.mu.Lock()
	s, leads := a.seat, a.leads != nil
	a.mu.Unlock()
	if s == nil {
		return answer{Why: "no seat"}, http.StatusMisdirectedRequest
	}
	var got answer
	var status int
	if leads {
		got, status = a.grants(ctx, []question{q})
	} else {
		got, status = s.relay.ask(ctx, q)
	}
	if status != http.StatusOK {
		return got, status
	}
	if why := got.Refused[q.Name]; why != "" {
		return answer{Why: why}, http.StatusConflict
	}
	// The record goes from here, once this seat has what the leader had.
	for {
		a.mu.Lock()
		news := a.news
		a.mu.Unlock()
		if r := s.log.Record(); r.Era == got.Era && r.Revision >= got.Revision {
			break
		}
		select {
		case <-ctx.Done():
			return answer{Why: "this seat is behind"}, http.StatusServiceUnavailable
		case <-news:
		}
	}
	back := answer{LeaseMS: got.LeaseMS}
	back.Entries, back.Record, back.Era, back.Revision = s.log.Since(q.Era, q.Revision)
	return back, http.StatusOK
}

// relay gathers questions for the leader.
type relay struct{ in chan asked }

type asked struct {
	q      question
	answer chan<- relayedAnswer
}

type relayedAnswer struct {
	answer
	status int
}

func (r *relay) ask(ctx context.Context, q question) (answer, int) {
	back := make(chan relayedAnswer, 1)
	select {
	case r.in <- asked{q, back}:
	default:
		return answer{Why: "too many questions wait"}, http.StatusServiceUnavailable
	}
	select {
	case got := <-back:
		return got.answer, got.status
	case <-ctx.Done():
		return answer{Why: ctx.Err().Error()}, http.StatusServiceUnavailable
	}
}

// relayed asks the leader, one call at a time with all that wait.
func (a *Agent) relayed(ctx context.Context, s *seat) {
	for {
		var all []asked
		select {
		case <-ctx.Done():
			return
		case q := <-s.relay.in:
			all = append(all, q)
		}
		for len(s.relay.in) > 0 && len(all) < mostBatch {
			all = append(all, <-s.relay.in)
		}
		var questions []question
		for _, q := range all {
			questions = append(questions, q.q)
		}
		got, status := answer{Why: "nobody leads"}, http.StatusServiceUnavailable
		r, leader := s.log.Record(), s.log.Leader()
		if leader == s.id() { // since a moment ago
			by, stop := context.WithDeadline(ctx, time.Now().Add(callWithin))
			got, status = a.grants(by, questions)
			stop()
		} else if i := slices.IndexFunc(r.Council, func(o agreement.Seat) bool { return o.ID == leader }); i >= 0 {
			by, stop := context.WithDeadline(ctx, time.Now().Add(min(callWithin, a.lease/3)))
			var err error
			if got, status, err = a.post(by, r.Council[i].Address, "grant", questions); err != nil {
				got, status = answer{Why: err.Error()}, http.StatusServiceUnavailable
			}
			stop()
		}
		for _, q := range all {
			q.answer <- relayedAnswer{got, status} // has room
		}
		pause(ctx, relayEvery)
	}
}

// propose announces a version, at whichever seat leads.
func (a *Agent) propose(ctx context.Context, v agreement.Version, passed bool) (answer, int) {
	if err := v.Rules.Check(); err != nil {
		return answer{Why: err.Error()}, http.StatusBadRequest
	}
	if err := v.Trial.Check(); err != nil {
		return answer{Why: err.Error()}, http.StatusBadRequest
	}
	a.mu.Lock()
	s, leads := a.seat, a.leads
	var cannot []string
	if leads != nil {
		cannot = leads.Readable(v.Rules, a.now())
	}
	a.mu.Unlock()
	if s != nil && leads != nil {
		if len(cannot) > 0 {
			return answer{Why: fmt.Sprintf("older builds could not read it: %v", cannot)}, http.StatusConflict
		}
		ctx, stop := context.WithDeadline(ctx, time.Now().Add(3*callWithin))
		defer stop()
		err := s.log.Propose(ctx, agreement.Entry{ID: rand.Text(), Announce: &v})
		record := s.log.Record()
		switch {
		case err == nil:
			return answer{Record: &record}, http.StatusOK
		case errors.Is(err, agreement.ErrUnderWay), errors.Is(err, agreement.ErrBase):
			return answer{Why: err.Error(), Record: &record}, http.StatusConflict
		default: // nobody knows whether it is announced: the status tells
			return answer{Why: err.Error()}, http.StatusServiceUnavailable
		}
	}
	return a.toLeader(ctx, "propose", v, passed)
}

// left takes a dispatcher's word that it has dropped its lease, to the leader.
func (a *Agent) left(ctx context.Context, q question, passed bool) (answer, int) {
	a.mu.Lock()
	s, leads := a.seat, a.leads
	if leads != nil {
		leads.Left(q.Name, q.Instance)
	}
	a.mu.Unlock()
	if leads != nil {
		return answer{}, http.StatusOK
	}
	if s == nil || passed {
		return answer{Why: "does not lead"}, http.StatusMisdirectedRequest
	}
	r, leader := s.log.Record(), s.log.Leader()
	if i := slices.IndexFunc(r.Council, func(o agreement.Seat) bool { return o.ID == leader }); i >= 0 {
		if got, status, err := a.post(ctx, r.Council[i].Address, "leave?passed=1", q); err == nil {
			return got, status
		}
	}
	return answer{Why: "nobody leads"}, http.StatusServiceUnavailable
}
