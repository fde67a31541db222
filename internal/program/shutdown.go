package program

import (
	"context"
	"slices"
	"sync"
	"time"

	"brassdale/internal/protocol"
)

// The schedule of a shutdown, from SIGTERM to the end. The platform kills the process killAfterDeadline after the longest
// deadline of a request, of which it counts maxCountedDeadline at most.
const (
	maxCountedDeadline = 3 * time.Second
	killAfterDeadline  = 700 * time.Millisecond
	// minListening is how long the load balancer may still bring clients, after SIGTERM.
	minListening = 500 * time.Millisecond
	// stopRequests is how long before the end connections bring no further request; where deadlines are short it is
	// 1/stopRequestsPart of the time.
	stopRequests     = 1200 * time.Millisecond
	stopRequestsPart = 3
	// answerMargin is how long before the end all requests are answered.
	answerMargin = 250 * time.Millisecond
	// exitMargin is how long before the end the process closes what is still open.
	exitMargin = 100 * time.Millisecond
	// shutdownPollInterval is the time between two looks at the open connections.
	shutdownPollInterval = 20 * time.Millisecond
)

// shutdown is one shutdown of a dispatcher. Owned by the goroutine of shutDown, but for running.
type shutdown struct {
	d          *dispatcher
	startedAt  time.Time
	end        time.Time   // when the platform kills the process
	handedOver bool        // a successor serves
	exclusive  []*frontend // whose connections carry one request at a time
	running    sync.WaitGroup
}

// shutDown answers all requests that were accepted, and returns the time by which the process has to end. It blocks until then at
// the latest:
//
//	SIGTERM                not ready; frontends direct clients elsewhere (startFrontends), and listen on (awaitStopRequests)
//	+ minListening         frontends may stop listening once they have no connections; multiplexed ones shut down
//	end - stopRequests     listeners close; each connection is closed after its answer, idle ones at once (awaitConnections)
//	end - answerMargin     the core answers every request that is still open
//	end - exitMargin       requests that are still incomplete are rejected, and what is open is closed
//	end                    the platform kills the process
//
// The load balancer soon brings no new clients, but clients go on using the connections that they have, and perhaps have nobody
// else while another dispatcher restarts; and one connection that is refused makes the load balancer give up this dispatcher
// with all that it could still serve. So the listeners stay open for as long as responses can be in time. Then connections are
// closed: each after its response, those that owe none at once. No connection is closed over bytes of a client, who would see
// it reset.
func (d *dispatcher) shutDown() time.Time {
	d.serving.Store(false)
	ending := &shutdown{d: d, startedAt: time.Now()}
	ending.end = ending.startedAt.Add(min(d.settings.Current().LongestDeadline(), maxCountedDeadline) + killAfterDeadline)
	d.core.StartShutdown(ending.end.Add(-answerMargin))
	ending.handedOver = d.handedOver.Load()
	ctx, cancel := context.WithDeadline(context.Background(), ending.end.Add(-exitMargin))
	defer cancel()
	ending.startFrontendShutdown(ctx)
	ending.awaitStopRequests()
	ending.closeListeners(ctx)
	ending.awaitConnections()
	ending.running.Wait()
	ending.logUnanswered()
	if peer := d.peerProcess(); peer != nil && ending.handedOver {
		peer.Ask(protocol.HandoverMessage{Last: true}, ending.end.Add(-exitMargin/2))
	}
	return ending.end.Add(-exitMargin / 2)
}

// startFrontendShutdown has all frontends direct their clients elsewhere. Multiplexed ones shut down by themselves: clients are notified
// up to which stream they are served. A client may keep a connection on which it is owed nothing, so they end with the context.
func (s *shutdown) startFrontendShutdown(ctx context.Context) {
	for _, f := range s.d.frontends {
		f.handler.StartShutdown()
		if s.handedOver { // the successor has the same listener, with the clients that wait at it
			_ = f.listener.Close() // it ends with the process in any case
		}
	}
	for _, f := range s.d.frontends {
		if !f.multiplexed() {
			s.exclusive = append(s.exclusive, f)
			continue
		}
		s.running.Go(func() {
			time.Sleep(time.Until(s.startedAt.Add(minListening)))
			_ = f.server.Shutdown(ctx) // an error means that the context has ended
		})
	}
}

// awaitStopRequests waits until no connection may bring a further request: while the load balancer may bring clients and while
// there are connections, but no longer than a response can be in time.
func (s *shutdown) awaitStopRequests() {
	stopBefore := min(stopRequests, max(s.end.Sub(s.startedAt)/stopRequestsPart, answerMargin))
	stopAt := s.end.Add(-stopBefore)
	for now := s.startedAt; now.Before(stopAt); now = time.Now() {
		mayBringClients := !s.handedOver && now.Before(s.startedAt.Add(minListening))
		if !mayBringClients && !slices.ContainsFunc(s.d.frontends, hasConnections) {
			return
		}
		time.Sleep(shutdownPollInterval)
	}
}

func hasConnections(f *frontend) bool { return f.listener.Connections() > 0 }

// closeListeners accepts no further connections.
func (s *shutdown) closeListeners(ctx context.Context) {
	for _, f := range s.exclusive {
		_ = f.listener.Close() // it ends with the process in any case
	}
	if relay := s.d.relayServer; relay != nil {
		s.running.Go(func() { _ = relay.Shutdown(ctx) }) // an error means that the context has ended
	}
}

// awaitConnections waits until all connections are closed, each once it owes no response. Shortly before the end requests that
// are still incomplete are rejected.
func (s *shutdown) awaitConnections() {
	for now := time.Now(); now.Before(s.end.Add(-exitMargin)); now = time.Now() {
		for _, f := range s.exclusive {
			f.listener.CloseWhenIdle()
		}
		if !slices.ContainsFunc(s.exclusive, hasConnections) {
			break
		}
		time.Sleep(shutdownPollInterval)
	}
	for _, f := range s.exclusive {
		f.listener.RejectUnfinished()
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
