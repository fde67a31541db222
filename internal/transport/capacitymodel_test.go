package transport

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/scheduler"
)

// endCountingSink is a Sink that counts how often each attempt and how many probes have ended.
type endCountingSink struct {
	mu     sync.Mutex
	ended  map[routing.AttemptID]int
	probes int
}

func (*endCountingSink) AttemptStarted(routing.AttemptID)             {}
func (*endCountingSink) AttemptWaits(routing.AttemptID, bool)         {}
func (*endCountingSink) AttemptSent()                                 {}
func (*endCountingSink) AttemptProgressed(routing.AttemptID, float64) {}

func (s *endCountingSink) AttemptFinished(id routing.AttemptID, _ routing.AttemptResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended[id]++
}

func (s *endCountingSink) ProbeCompleted(scheduler.WorkerID, scheduler.Outcome, *scheduler.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probes++
}

// shortDeadline is within the time that some steps of the model take, so that some attempts expire while they wait.
const shortDeadline = time.Millisecond

// capacityModel is a pool whose actors do not run: the model passes them their messages one at a time, in an order that a seed
// determines.
type capacityModel struct {
	random      *rand.Rand
	pool        *EndpointPool
	sink        *endCountingSink
	addresses   []string // of workers that answer, and of a worker that refuses connections
	endpoints   []*endpoint
	undelivered map[*endpoint][]any
	attempts    []routing.Attempt
	probes      int
}

func newCapacityModel(seed uint64, addresses []string) *capacityModel {
	settings := &protocol.Settings{}
	settings.Limits.ConnectTimeout = protocol.Micros(time.Second / time.Microsecond)
	settings.Limits.ConnIdle = protocol.Micros(time.Minute / time.Microsecond)
	settings.Rules.DrainGrace = protocol.Micros(time.Minute / time.Microsecond)
	live := &protocol.LiveSettings{}
	live.Replace(settings, func(scheduler.Settings) {})
	sink := &endCountingSink{ended: map[routing.AttemptID]int{}}
	model := &capacityModel{
		random: rand.New(rand.NewPCG(seed, 0)), sink: sink, addresses: addresses, undelivered: map[*endpoint][]any{},
		pool: NewEndpointPool(context.Background(), live, sink, slog.New(slog.NewTextHandler(io.Discard, nil))),
	}
	for i := range 6 {
		listed := routing.Endpoint{WorkerInfo: scheduler.WorkerInfo{ID: scheduler.WorkerID(fmt.Sprint("w", i))}, Address: addresses[0]}
		actor := newEndpoint(model.pool, listed)
		model.pool.endpoints[listed.ID] = actor
		model.endpoints = append(model.endpoints, actor)
	}
	model.pool.SetWorkerConnLimit(1)
	return model
}

// step makes a random call of the pool, or passes an actor a message.
func (m *capacityModel) step() {
	actor := m.endpoints[m.random.IntN(len(m.endpoints))]
	switch m.random.IntN(20) {
	case 0, 1, 2, 3, 4:
		m.send(actor)
	case 5:
		m.probes++
		m.pool.Probe(actor.id)
	case 6, 7:
		if len(m.attempts) > 0 {
			cancelled := m.attempts[m.random.IntN(len(m.attempts))]
			m.pool.Cancel(cancelled.Endpoint, cancelled.ID)
		}
	case 8:
		m.pool.SetWorkerConnLimit(1 + m.random.IntN(2))
	case 9:
		listed := routing.Endpoint{WorkerInfo: scheduler.WorkerInfo{ID: actor.id, State: scheduler.WorkerState(m.random.IntN(3))}}
		listed.Address = m.addresses[m.random.IntN(len(m.addresses))]
		m.pool.Update(listed)
	case 10:
		time.Sleep(time.Duration(m.random.IntN(int(shortDeadline))))
	default:
		m.deliverOne(actor)
	}
}

// send starts an attempt with a deadline that passes soon, or not within the test.
func (m *capacityModel) send(actor *endpoint) {
	deadline := time.Now().Add(time.Hour)
	if m.random.IntN(4) > 0 {
		deadline = time.Now().Add(time.Duration(m.random.IntN(int(shortDeadline))))
	}
	id := routing.AttemptID{Request: scheduler.RequestID(len(m.attempts) + 1)}
	job := &protocol.Job{ID: fmt.Sprint(id.Request), Method: http.MethodPost, Target: "/", Deadline: deadline}
	attempt := routing.Attempt{ID: id, Endpoint: actor.id, Job: job, Deadline: deadline}
	m.attempts = append(m.attempts, attempt)
	m.pool.Send(attempt)
}

// deliverOne passes an actor its next message, and reports whether there was one.
func (m *capacityModel) deliverOne(actor *endpoint) bool {
	m.undelivered[actor] = append(m.undelivered[actor], actor.mailbox.Take()...)
	if len(m.undelivered[actor]) == 0 {
		return false
	}
	message := m.undelivered[actor][0]
	m.undelivered[actor] = m.undelivered[actor][1:]
	actor.handle(message)
	return true
}

// settle delivers all messages until each attempt and probe has ended and all open connections are idle. It returns an error with
// the state if that takes longer than limit, which only a lost notification can cause.
func (m *capacityModel) settle() error {
	const limit = 3 * time.Second
	for start := time.Now(); time.Since(start) < limit; {
		delivered := false
		for _, actor := range m.endpoints {
			delivered = m.deliverOne(actor) || delivered
		}
		if !delivered && m.allEnded() && m.pool.OpenConnections() == m.idleConnections() {
			return nil
		}
		if !delivered {
			time.Sleep(200 * time.Microsecond)
		}
	}
	var waiting []string
	for _, actor := range m.endpoints {
		waiting = append(waiting, fmt.Sprintf("%s: %d wait for capacity, %d for a dial", actor.id, len(actor.waitingForCapacity), len(actor.waitingForDial)))
	}
	return fmt.Errorf("%d of %d connections open, %d idle, %d endpoints wait for capacity; %v", m.pool.OpenConnections(), m.pool.connectionLimit(),
		m.idleConnections(), len(m.pool.waitingEndpoints), waiting)
}

func (m *capacityModel) idleConnections() (idle int) {
	for _, actor := range m.endpoints {
		idle += len(actor.idleConns)
	}
	return idle
}

func (m *capacityModel) allEnded() bool {
	m.sink.mu.Lock()
	defer m.sink.mu.Unlock()
	open := func(attempt routing.Attempt) bool { return m.sink.ended[attempt.ID] == 0 }
	return m.sink.probes == m.probes && !slices.ContainsFunc(m.attempts, open)
}

// TestEndpointPool_noAttemptWaitsWhileCapacityIsFree guards against attempts that wait until their deadlines for capacity, after
// another endpoint was notified of free capacity and did not need it.
func TestEndpointPool_noAttemptWaitsWhileCapacityIsFree(t *testing.T) {
	const seeds, steps = 600, 60
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, `{"id":%q,"from":"w","state":"done","result":""}`+"\n", r.Header.Get("Req-Id"))
	}))
	defer worker.Close()
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing.Close()
	for seed := range uint64(seeds) {
		model := newCapacityModel(seed, []string{worker.Listener.Addr().String(), refusing.Addr().String()})
		for range steps {
			model.step()
		}
		if err := model.settle(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for id, times := range model.sink.ended {
			if times != 1 {
				t.Errorf("seed %d: attempt %v ended %d times, want once", seed, id, times)
			}
		}
		for _, actor := range model.endpoints {
			actor.closeAllIdle()
		}
		if open := model.pool.OpenConnections(); open != 0 {
			t.Errorf("seed %d: %d connections counted as open after all were closed, want 0", seed, open)
		}
	}
}
