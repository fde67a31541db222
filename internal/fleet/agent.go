package fleet

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/google/renameio/v2"

	"brassdale/internal/decisions/agreement"
	councillog "brassdale/internal/fleet/log"
)

const (
	renewals   = 8 // in a lease
	forceEvery = 20 * time.Millisecond
	openEvery  = 200 * time.Millisecond
)

// Agent is a dispatcher's part in the fleet, and a voter's where it has a seat.
type Agent struct {
	s        *Settings
	name     string
	lease    time.Duration
	start    time.Time // what its clock counts from
	log      *slog.Logger
	client   *http.Client
	listener net.Listener
	council  *councillog.Log // nil for a follower
	peers    []*peer         // by seat; nil where this dispatcher sits
	changed  chan struct{}
	apply    func(agreement.Stand)

	mu     sync.Mutex
	holder *agreement.Holder
	leads  *agreement.Council // nil while it does not lead
	guess  int                // the seat that is asked next
	last   string             // what was applied
}

// New reads what the dispatcher knew at its last end. apply is told of each change of what may be acted on; it must not
// block.
func New(s *Settings, name string, apply func(agreement.Stand), log *slog.Logger) (*Agent, error) {
	lease, err := s.Lease()
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(s.Directory, 0o700); err != nil {
		return nil, err
	}
	a := &Agent{s: s, name: name, lease: lease, start: time.Now(), log: log, client: newClient(), changed: make(chan struct{}, 1), apply: apply, guess: max(s.Seat, 1)}
	a.holder = agreement.NewHolder(a.kept())
	return a, nil
}

// open takes the dispatcher's file and its address, which a process that this one replaces may still have.
func (a *Agent) open() (err error) {
	s := a.s
	if a.listener, err = net.Listen("tcp", s.Listen); err != nil {
		return err
	}
	if s.Seat > 0 {
		a.peers = make([]*peer, len(s.Voters)+1)
		for i, v := range s.Voters {
			if i+1 != s.Seat {
				a.peers[i+1] = &peer{fmt.Sprintf("http://%s/council/messages", v), make(chan []byte, mostBatch)}
			}
		}
		a.council, err = councillog.Open(councillog.Options{Seat: s.Seat, Voters: len(s.Voters), Directory: s.Directory, Log: a.log,
			Send: func(to int, m []byte) {
				if to > 0 && to < len(a.peers) && a.peers[to] != nil {
					a.peers[to].send(m)
				}
			},
			Changed: func(agreement.Record) { a.wake() }, Leads: a.elected})
		if err != nil {
			a.listener.Close()
			return err
		}
	}
	return nil
}

// wait opens, as soon as that can be. Until then the dispatcher holds no lease.
func (a *Agent) wait(ctx context.Context) bool {
	a.settle()
	for said := false; ctx.Err() == nil; {
		err := a.open()
		if err == nil {
			a.log.Info("listening", "front", "council", "address", a.listener.Addr().String(), "seat", a.s.Seat)
			return true
		}
		if !said {
			a.log.Warn("the fleet is not joined yet", "err", err)
			said = true
		}
		select {
		case <-ctx.Done():
		case <-time.After(openEvery):
		}
	}
	return false
}

func (a *Agent) now() agreement.Clock { return time.Since(a.start) } // monotonic: a clock that is set back or on moves nothing

// Stand is what may be acted on now. Who was frozen finds its lease run out.
func (a *Agent) Stand() agreement.Stand {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holder.Stand(a.now())
}

func (a *Agent) wake() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// elected is told by the log. A new leader begins without knowing of any lease.
func (a *Agent) elected(leads bool) {
	a.mu.Lock()
	a.leads = nil
	if leads {
		a.leads = agreement.NewCouncil(a.lease, a.now())
	}
	a.mu.Unlock()
	a.log.Info("council", "leads", leads, "seat", a.s.Seat)
	a.wake()
}

// Run is the agent's life.
func (a *Agent) Run(ctx context.Context) {
	if !a.wait(ctx) {
		return
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	server := &http.Server{Handler: a.handler(), ReadHeaderTimeout: callWithin, ErrorLog: slog.NewLogLogger(a.log.Handler(), slog.LevelDebug)}
	var wait sync.WaitGroup
	wait.Go(func() { _ = server.Serve(a.listener) })
	if a.council != nil {
		for _, p := range a.peers {
			if p != nil {
				wait.Go(func() { p.run(ctx, a.client) })
			}
		}
		wait.Go(func() {
			if err := a.council.Run(ctx); err != nil && ctx.Err() == nil {
				a.log.Error("this voter has stopped: the dispatcher goes on as a follower", "err", err)
			}
		})
		wait.Go(func() { a.force(ctx) })
	}
	wait.Go(func() { a.watch(ctx) })
	a.renew(ctx)
	_ = server.Close()
	wait.Wait()
}

// renew asks for leases, and again sooner where nobody gave one.
func (a *Agent) renew(ctx context.Context) {
	every := a.lease / renewals
	for ctx.Err() == nil {
		asked, begin := a.now(), time.Now()
		record, lease, err := a.ask(ctx)
		if err == nil {
			a.mu.Lock()
			fresh := record.Revision > a.holder.Record().Revision
			a.holder.Heard(record, asked, lease)
			a.mu.Unlock()
			if fresh {
				a.keep(record)
			}
			a.settle()
		} else {
			a.log.Debug("no lease", "err", err)
		}
		pause := time.Until(begin.Add(every))
		if err != nil {
			pause = min(pause, every/2)
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(pause, time.Millisecond)):
		}
	}
}

// ask asks the voter that is thought to lead, and goes on with the one that it names, or the next.
func (a *Agent) ask(ctx context.Context) (agreement.Record, time.Duration, error) {
	a.mu.Lock()
	q, seat := question{Name: a.name, Acknowledged: a.holder.Acknowledged(), Form: form}, a.guess
	a.mu.Unlock()
	var got answer
	status := http.StatusOK
	if seat == a.s.Seat {
		got, status = a.grant(ctx, q)
	} else {
		body, err := json.Marshal(q)
		if err != nil {
			return agreement.Record{}, 0, err
		}
		var text []byte
		status, text, err = Call(ctx, a.client, fmt.Sprintf("http://%s/council/renew", a.s.Voters[seat-1]), body, time.Now().Add(callWithin))
		if err == nil {
			err = json.Unmarshal(text, &got)
		}
		if err != nil {
			a.next(seat, 0)
			return agreement.Record{}, 0, err
		}
	}
	if status != http.StatusOK || got.Record == nil {
		a.next(seat, got.Leader)
		return agreement.Record{}, 0, fmt.Errorf("seat %d: %d %s", seat, status, got.Why)
	}
	return *got.Record, time.Duration(got.LeaseMS) * time.Millisecond, nil
}

// next chooses whom to ask behind one that gave nothing.
func (a *Agent) next(asked, leader int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if leader > 0 && leader <= len(a.s.Voters) && leader != asked {
		a.guess = leader
	} else {
		a.guess = asked%len(a.s.Voters) + 1
	}
}

// grant gives a lease, if this voter leads. That somebody asked is noted first: a version waits for it from then on. Then a
// majority confirms who leads, so a leader that was cut off gives none.
func (a *Agent) grant(ctx context.Context, q question) (answer, int) {
	if q.Form != form {
		return answer{Why: fmt.Sprintf("this build speaks form %d", form)}, http.StatusUpgradeRequired
	}
	if a.council == nil {
		return answer{Why: "no voter"}, http.StatusMisdirectedRequest
	}
	a.mu.Lock()
	leads := a.leads
	if leads != nil {
		leads.Renewed(q.Name, a.now(), q.Acknowledged)
	}
	a.mu.Unlock()
	if leads == nil {
		return answer{Leader: a.council.Leader(), Why: "does not lead"}, http.StatusMisdirectedRequest
	}
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(callWithin))
	defer stop()
	if err := a.council.Confirm(ctx); err != nil {
		return answer{Why: err.Error()}, http.StatusServiceUnavailable
	}
	record := a.council.Record()
	return answer{Record: &record, LeaseMS: a.lease.Milliseconds()}, http.StatusOK
}

// force puts an announced version in force once it may be.
func (a *Agent) force(ctx context.Context) {
	tick := time.NewTicker(forceEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		announced := a.council.Record().Announced
		a.mu.Lock()
		may := false
		if a.leads != nil && announced != nil {
			may, _ = a.leads.May(announced.Number, a.now())
		}
		a.mu.Unlock()
		if may {
			ctx, stop := context.WithDeadline(ctx, time.Now().Add(callWithin))
			if err := a.council.Propose(ctx, agreement.Entry{ID: rand.Text(), Force: announced.Number}); err == nil {
				a.log.Info("version in force", "version", announced.Number, "by", announced.By, "why", announced.Why)
			}
			stop()
		}
	}
}

// watch applies what changes without an answer: a lease that runs out.
func (a *Agent) watch(ctx context.Context) {
	for {
		a.settle()
		a.mu.Lock()
		left := a.holder.Until() - a.now()
		a.mu.Unlock()
		if left <= 0 {
			left = a.lease
		}
		select {
		case <-ctx.Done():
			return
		case <-a.changed:
		case <-time.After(left):
		}
	}
}

// settle has what may be acted on applied, where that has changed.
func (a *Agent) settle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.holder.Stand(a.now())
	if text := fmt.Sprint(s); text != a.last {
		a.last = text
		a.log.Info("acting on", "versions", fmt.Sprint(s.Versions), "lapsed", s.Lapsed, "at_ms", time.Now().UnixMilli())
		a.apply(s)
	}
}

func (a *Agent) knownFile() string { return filepath.Join(a.s.Directory, "known.json") }

// kept reads what was known at the last end. What cannot be read is as nothing: the lease is what counts.
func (a *Agent) kept() (r agreement.Record) {
	text, err := os.ReadFile(a.knownFile())
	if err == nil {
		err = json.Unmarshal(text, &r)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		a.log.Warn("what the fleet agreed on is not known", "err", err)
		return agreement.Record{}
	}
	return r
}

func (a *Agent) keep(r agreement.Record) {
	r.History = nil
	text, err := json.Marshal(r)
	if err == nil {
		err = renameio.WriteFile(a.knownFile(), text, 0o600)
	}
	if err != nil {
		a.log.Warn("what the fleet agreed on is not kept", "err", err)
	}
}

// Status is what a dispatcher tells of the fleet.
type Status struct {
	Name    string            `json:"name"`
	Fleet   string            `json:"fleet"`
	Seat    int               `json:"seat,omitempty"`
	Leader  int               `json:"leader,omitempty"`
	Leads   bool              `json:"leads,omitempty"`
	Acting  []uint64          `json:"acting"`
	Lapsed  bool              `json:"lapsed,omitempty"`
	LeaseMS int64             `json:"lease_left_ms"`
	Record  agreement.Record  `json:"record"`
	Present map[string]uint64 `json:"present,omitempty"` // what each acknowledged, where this one leads
	Waits   []string          `json:"waits,omitempty"`   // for whom an announced version waits
}

// Status gives it.
func (a *Agent) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.holder.Stand(a.now())
	st := Status{Name: a.name, Fleet: a.s.Name, Seat: a.s.Seat, Acting: s.Versions, Lapsed: s.Lapsed, Record: a.holder.Record(),
		LeaseMS: max((a.holder.Until() - a.now()).Milliseconds(), 0), Leads: a.leads != nil}
	if a.council != nil {
		st.Leader, st.Record = a.council.Leader(), a.council.Record()
	}
	if a.leads != nil {
		st.Present = a.leads.Present(a.now())
		if v := st.Record.Announced; v != nil {
			_, st.Waits = a.leads.May(v.Number, a.now())
		}
	}
	return st
}

// propose announces a version, at whichever voter leads.
func (a *Agent) propose(ctx context.Context, v agreement.Version, passed bool) (answer, int) {
	if err := v.Rules.Check(); err != nil {
		return answer{Why: err.Error()}, http.StatusBadRequest
	}
	if a.council != nil && a.council.Leader() == a.s.Seat {
		ctx, stop := context.WithDeadline(ctx, time.Now().Add(3*callWithin))
		defer stop()
		err := a.council.Propose(ctx, agreement.Entry{ID: rand.Text(), Announce: &v})
		record := a.council.Record()
		switch {
		case err == nil:
			return answer{Record: &record}, http.StatusOK
		case errors.Is(err, agreement.ErrUnderWay), errors.Is(err, agreement.ErrBase):
			return answer{Why: err.Error(), Record: &record}, http.StatusConflict
		default: // nobody knows whether it is announced: the status tells
			return answer{Why: err.Error()}, http.StatusServiceUnavailable
		}
	}
	if passed { // by one that thought this one leads
		return answer{Why: "does not lead"}, http.StatusMisdirectedRequest
	}
	body, err := json.Marshal(v)
	if err != nil {
		return answer{Why: err.Error()}, http.StatusBadRequest
	}
	a.mu.Lock()
	seat := a.guess
	a.mu.Unlock()
	if a.council != nil && a.council.Leader() > 0 {
		seat = a.council.Leader()
	}
	status, text, err := Call(ctx, a.client, fmt.Sprintf("http://%s/council/propose?passed=1", a.s.Voters[seat-1]), body, time.Now().Add(4*callWithin))
	var got answer
	if err == nil {
		err = json.Unmarshal(text, &got)
	}
	if err != nil {
		return answer{Why: err.Error()}, http.StatusServiceUnavailable
	}
	return got, status
}

func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /council/messages", func(w http.ResponseWriter, r *http.Request) {
		var all [][]byte
		body := http.MaxBytesReader(w, r.Body, mostBody)
		text, err := io.ReadAll(body)
		if err == nil {
			all, err = frames(text)
		}
		if err != nil || a.council == nil {
			reply(w, http.StatusBadRequest, answer{Why: "no messages to a voter"})
			return
		}
		for m := range slices.Values(all) {
			a.council.Step(m)
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /council/renew", func(w http.ResponseWriter, r *http.Request) {
		var q question
		if err := decode(r, &q); err != nil || q.Name == "" {
			reply(w, http.StatusBadRequest, answer{Why: "no question"})
			return
		}
		got, status := a.grant(r.Context(), q)
		reply(w, status, got)
	})
	mux.HandleFunc("POST /council/propose", func(w http.ResponseWriter, r *http.Request) {
		var v agreement.Version
		if err := decode(r, &v); err != nil {
			reply(w, http.StatusBadRequest, answer{Why: err.Error()})
			return
		}
		got, status := a.propose(r.Context(), v, r.URL.Query().Get("passed") != "")
		reply(w, status, got)
	})
	mux.HandleFunc("GET /council/status", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, a.Status()) })
	return mux
}
