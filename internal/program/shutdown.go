package program

import (
	"context"
	"slices"
	"sync"
	"time"
)

// The schedule of a shutdown, from SIGTERM to the end. The platform waits for the longest deadline of any class, but for
// maxCountedDeadline at most, and then for killAfterDeadline. Then it kills the process.
const (
	maxCountedDeadline = 3 * time.Second
	killAfterDeadline  = 700 * time.Millisecond
	// minListening is how long after SIGTERM the load balancer may still send new clients.
	minListening = 500 * time.Millisecond
	// requestStopMargin is the time before the end from which connections carry no new requests. If deadlines are short, it is
	// 1/requestStopDivisor of the duration of the shutdown, but at least answerMargin.
	requestStopMargin  = 1200 * time.Millisecond
	requestStopDivisor = 3
	// answerMargin is how long before the end the core answers all open requests.
	answerMargin = 250 * time.Millisecond
	// exitMargin is how long before the end the process closes the connections that are still open.
	exitMargin = 100 * time.Millisecond
	// shutdownPollInterval is the time between two checks for open connections.
	shutdownPollInterval = 20 * time.Millisecond
)

// shutdown is one shutdown of a dispatcher. The goroutine of shutDown owns all fields except running.
type shutdown struct {
	d              *dispatcher
	startedAt      time.Time
	end            time.Time   // when the platform kills the process
	handedOver     bool        // a successor serves
	nonMultiplexed []*frontend // frontends whose connections carry one request at a time
	running        sync.WaitGroup
}

// shutDown answers all requests that were accepted, and returns the time by which the process has to end. It blocks until then at
// the latest:
//
//	SIGTERM                  not ready; frontends direct clients elsewhere (startFrontendShutdown), but keep listening (awaitRequestStop)
//	+ minListening           frontends may stop listening once nothing is pending (isPending); multiplexed ones shut down
//	end - requestStopMargin  listeners close; each connection is closed after its answer, idle ones at once (awaitConnections)
//	end - answerMargin       the core answers every request that is still open
//	end - exitMargin         requests that are still incomplete are rejected, and open connections are closed
//	end                      the platform kills the process
//
// The load balancer soon sends no new clients, but clients go on using their connections, and may have no other dispatcher while
// another one restarts. A single refused connection makes the load balancer give up this dispatcher, with all requests that it could
// still serve. So the listeners stay open for as long as responses can be in time. Then each connection is closed after its pending
// response, or at once if it has none. No connection is closed while bytes of the client are unread, as the client would see a reset.
//
// With a successor, the process also stays while jobs with an idempotency key run, even if no client is connected: their clients may
// reconnect to the successor, which relays them here. The successor learns of a job when it has ended; it would start a second one before.
func (d *dispatcher) shutDown() time.Time {
	d.serving.Store(false)
	ending := &shutdown{d: d, startedAt: time.Now()}
	ending.end = ending.startedAt.Add(min(d.settings.Current().LongestDeadline(), maxCountedDeadline) + killAfterDeadline)
	d.core.StartShutdown(ending.end.Add(-answerMargin))
	ending.handedOver = d.handedOver.Load()
	ctx, cancel := context.WithDeadline(context.Background(), ending.end.Add(-exitMargin))
	defer cancel()
	ending.startFrontendShutdown(ctx)
	ending.awaitRequestStop()
	ending.closeListeners()
	ending.awaitConnections()
	ending.awaitDelivery(ending.end.Add(-exitMargin)) // until then a request for a job of this process has to be relayed
	ending.closeRelay(ctx)
	ending.running.Wait()
	ending.logUnanswered()
	ending.awaitDelivery(ending.end.Add(-exitMargin / 2))
	return ending.end.Add(-exitMargin / 2)
}

// startFrontendShutdown makes all frontends direct their clients elsewhere. After minListening it also shuts down the servers of
// multiplexed frontends: these notify clients of the last stream that they serve, and close each connection after its last
// response. A client may keep an idle connection open, so the shutdown of a server is limited by the context.
func (s *shutdown) startFrontendShutdown(ctx context.Context) {
	for _, f := range s.d.frontends {
		f.handler.StartShutdown()
		if s.handedOver { // the successor has the same listener, with the clients that wait in its queue
			_ = f.listener.Close() // it is closed with the process in any case
		}
	}
	for _, f := range s.d.frontends {
		if !f.multiplexed() {
			s.nonMultiplexed = append(s.nonMultiplexed, f)
			continue
		}
		s.running.Go(func() {
			time.Sleep(time.Until(s.startedAt.Add(minListening)))
			_ = f.server.Shutdown(ctx) // an error means that the context has ended
		})
	}
}

// awaitRequestStop waits until connections must stop carrying new requests. It waits while the load balancer may still send clients
// or connections are open, but only for as long as the response to a new request can be in time.
func (s *shutdown) awaitRequestStop() {
	stopBefore := min(requestStopMargin, max(s.end.Sub(s.startedAt)/requestStopDivisor, answerMargin))
	stopAt := s.end.Add(-stopBefore)
	for now := s.startedAt; now.Before(stopAt); now = time.Now() {
		mayBringClients := !s.handedOver && now.Before(s.startedAt.Add(minListening))
		if !mayBringClients && !s.isPending(s.d.frontends) {
			return
		}
		time.Sleep(shutdownPollInterval)
	}
}

// isPending reports whether a frontend has connections, or a successor relays clients to jobs that run here.
func (s *shutdown) isPending(frontends []*frontend) bool {
	return slices.ContainsFunc(frontends, hasConnections) || s.handedOver && s.d.idempotencyTable != nil && s.d.idempotencyTable.RunningJobs() > 0
}

func hasConnections(f *frontend) bool { return f.listener.Connections() > 0 }

// closeListeners stops accepting connections.
func (s *shutdown) closeListeners() {
	for _, f := range s.nonMultiplexed {
		_ = f.listener.Close() // it is closed with the process in any case
	}
}

// closeRelay stops taking requests that the successor relays, and waits for the answers to those that were taken.
func (s *shutdown) closeRelay(ctx context.Context) {
	if relay := s.d.relayServer; relay != nil {
		_ = relay.Shutdown(ctx) // an error means that the context has ended
	}
}

// awaitConnections waits until nothing is pending: each connection is closed once it has no pending response. exitMargin before the end it
// rejects the requests that are still incomplete.
func (s *shutdown) awaitConnections() {
	for now := time.Now(); now.Before(s.end.Add(-exitMargin)); now = time.Now() {
		for _, f := range s.nonMultiplexed {
			f.listener.CloseWhenIdle()
		}
		if !s.isPending(s.nonMultiplexed) {
			break
		}
		time.Sleep(shutdownPollInterval)
	}
	for _, f := range s.nonMultiplexed {
		f.listener.RejectUnfinished()
	}
}

// awaitDelivery waits until the successor, if there is one, has received the jobs that have ended here.
func (s *shutdown) awaitDelivery(until time.Time) {
	if peer := s.d.peerProcess(); peer != nil && s.handedOver {
		_ = peer.AwaitDelivery(until) // if it fails, this process ends all the same
	}
}

// logUnanswered logs the requests that will get no response.
func (s *shutdown) logUnanswered() {
	for _, f := range s.d.frontends {
		if pending := f.listener.PendingAnswers(); pending > 0 {
			s.d.log.Error("requests left unanswered", "front", f.name, "requests", pending)
		}
	}
}
