package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"

	"brassdale/internal/effectivestate"
	"brassdale/internal/protocol"
	"brassdale/scheduler"
)

// The resources of a hollow process's HTTP server.
const (
	countsPath        = "/counts" // GET: hollowCounts
	statesPath        = "/stands" // GET: the states that each dispatcher has applied, by name
	observedZonesPath = "/hears"  // POST: names of the zones from which probes are answered from now on
)

// hollowCounts are the counters of a process of hollow dispatchers.
type hollowCounts struct {
	LateTicks  []lateTick               `json:"late"`
	Control    map[string]controlCounts `json:"each"`  // by dispatcher
	RaftStates map[string]raftState     `json:"roles"` // by dispatcher; only of voters
}

// hollowServer runs the hollow dispatchers of a process.
type hollowServer struct {
	spec             HollowSpec
	settings         *protocol.LiveSettings
	discoveryAddress string
	stalls           stallDetector
	dispatchers      []*hollowDispatcher

	mu            sync.Mutex
	observedZones []string // from which probes are answered
}

// ServeHollow runs the hollow dispatchers of a spec until the reader or the context ends. Once they run, it writes a line with the address of its
// HTTP server to the writer. It is called in a process that does nothing else: the dispatchers end with the process, without leaving the fleet.
func ServeHollow(ctx context.Context, spec HollowSpec, until io.Reader, addressTo io.Writer, log *slog.Logger) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	server, err := newHollowServer(spec, log)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	httpServer := &http.Server{Handler: server.handler()}
	go func() { _ = httpServer.Serve(listener) }() // ends by Close
	defer func() { _ = httpServer.Close() }()      // the process ends
	go server.stalls.run(ctx)
	for _, dispatcher := range server.dispatchers {
		dispatcher.run(ctx, server)
	}
	if _, err := fmt.Fprintln(addressTo, listener.Addr()); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = io.Copy(io.Discard, until) // an error counts as the end
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	return nil
}

// newHollowServer returns a server with all dispatchers of the spec. None of them runs yet.
func newHollowServer(spec HollowSpec, log *slog.Logger) (*hollowServer, error) {
	config, err := protocol.LoadConfig(spec.ConfigPath, os.Getenv)
	if err != nil {
		return nil, err
	}
	server := &hollowServer{
		spec:             spec,
		settings:         &protocol.LiveSettings{},
		discoveryAddress: config.Discovery,
		observedZones:    slices.Sorted(maps.Keys(spec.Capacity)),
	}
	server.settings.Replace(&config.Settings, func(scheduler.Settings) {})
	for i, dispatcherSpec := range spec.Dispatchers {
		dispatcher, err := server.newDispatcher(dispatcherSpec, uint64(i), log)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", dispatcherSpec.Name, err)
		}
		server.dispatchers = append(server.dispatchers, dispatcher)
	}
	return server, nil
}

// handler returns the handler of the HTTP server, by which the run polls the dispatchers.
func (s *hollowServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+countsPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.counts()) })
	mux.HandleFunc("GET "+statesPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.effectiveStates()) })
	mux.HandleFunc("POST "+observedZonesPath, s.setObservedZones)
	return mux
}

// writeJSON writes a response.
func writeJSON(w http.ResponseWriter, value any) {
	_ = json.NewEncoder(w).Encode(value) // fails only if the run has closed the connection, and then it ends this process
}

// counts returns the current counters.
func (s *hollowServer) counts() hollowCounts {
	counts := hollowCounts{LateTicks: s.stalls.lateTicks(), Control: map[string]controlCounts{}, RaftStates: map[string]raftState{}}
	for _, dispatcher := range s.dispatchers {
		counts.Control[dispatcher.name] = dispatcher.meter.Counts()
		if state := dispatcher.currentRaftState(); state != (raftState{}) {
			counts.RaftStates[dispatcher.name] = state
		}
	}
	return counts
}

// effectiveStates returns the states that the dispatchers have applied until now, by name.
func (s *hollowServer) effectiveStates() map[string][]effectivestate.State {
	states := map[string][]effectivestate.State{}
	for _, dispatcher := range s.dispatchers {
		states[dispatcher.name] = dispatcher.appliedStates()
	}
	return states
}

// setObservedZones handles a request that sets the zones from which probes are answered.
func (s *hollowServer) setObservedZones(w http.ResponseWriter, r *http.Request) {
	var zones []string
	if err := json.NewDecoder(r.Body).Decode(&zones); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.observedZones = zones
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// observed returns the zones from which probes are answered now.
func (s *hollowServer) observed() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.observedZones
}
