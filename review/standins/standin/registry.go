package standin

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Registry is a stand-in for discovery, whose list never changes.
type Registry struct {
	workers  []*Worker
	listener net.Listener
}

// StartRegistry starts discovery with a list of workers.
func StartRegistry(workers []*Worker) (*Registry, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	registry := &Registry{workers: workers, listener: listener}
	go func() { _ = http.Serve(listener, registry) }()
	return registry, nil
}

// Address returns where discovery listens.
func (g *Registry) Address() string { return g.listener.Addr().String() }

// List returns the whole list.
func (g *Registry) List() string {
	var members []string
	for _, worker := range g.workers {
		members = append(members, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"llanelli","flavor":"new-box","cell":%d,"phase":"active","size":1.0,"up_since_ms":0}`,
			worker.ID, worker.Address(), worker.Bay))
	}
	return fmt.Sprintf(`{"revision":41,"complete":true,"members":[%s]}`, strings.Join(members, ","))
}

// ServeHTTP answers a call: at once with the whole list, or, for a watch from the current revision, after its wait without a change.
func (g *Registry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if r.URL.Query().Get("index") != "41" {
		fmt.Fprint(w, g.List())
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	select {
	case <-time.After(time.Duration(min(wait, 60000)) * time.Millisecond):
	case <-r.Context().Done():
	}
	fmt.Fprint(w, `{"revision":41,"complete":false,"members":[]}`)
}
