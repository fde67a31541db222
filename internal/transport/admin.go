package transport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"
)

// MaxAdminConnections is the maximum number of connections to the admin API. If one more is opened, the connection whose call has
// run longest is closed.
const MaxAdminConnections = 12

const (
	adminCallTimeout    = 2 * time.Second // for a whole call
	maxAdminHeaderBytes = 4 << 10
	maxWorkerIDBytes    = 256
)

// Operations are the functions of the program that the admin API calls. Methods may be called from any goroutine, and return when
// the context ends.
type Operations interface {
	// Ready reports whether this process takes requests.
	Ready() bool
	// Metrics returns the metrics, one per line.
	Metrics() string
	// Detach detaches a worker: it gets no new jobs. An *OperationError says why the worker cannot be detached.
	Detach(ctx context.Context, id string) error
	// Attach reattaches a worker. An *OperationError says why the worker cannot be reattached.
	Attach(ctx context.Context, id string) error
}

// OperationError says why an operation is rejected, with the HTTP status and the text for the operator.
type OperationError struct {
	Status int
	Reason string
}

// Error implements error.
func (e *OperationError) Error() string { return e.Reason }

// workerOperation is an operation on a worker: POST /_workers/<name>, with the worker's id as body.
type workerOperation struct {
	name       string
	logMessage string // logged when the operation is done
	apply      func(ctx context.Context, id string) error
}

// AdminHandler returns the handler of the admin API. A status of 2xx says that the call is done.
func AdminHandler(operations Operations, log *slog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /_ready", func(w http.ResponseWriter, _ *http.Request) {
		if !operations.Ready() {
			http.Error(w, "not yet, or not any more", http.StatusServiceUnavailable) // starting or shutting down
			return
		}
		fmt.Fprint(w, "ready\n")
	})
	mux.HandleFunc("GET /_vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Header().Set("Cache-Control", "no-store")
		fmt.Fprint(w, operations.Metrics())
	})
	for _, operation := range []workerOperation{
		{name: "detach", logMessage: "worker detached", apply: operations.Detach},
		{name: "attach", logMessage: "worker reattached", apply: operations.Attach},
	} {
		mux.HandleFunc("POST /_workers/"+operation.name, func(w http.ResponseWriter, r *http.Request) {
			operation.serve(w, r, log)
		})
	}
	return mux
}

// serve applies the operation to the worker that the request names.
func (o workerOperation) serve(w http.ResponseWriter, r *http.Request, log *slog.Logger) {
	// If the body is too long, net/http reads some more of it before it closes the connection, so that the caller sees the
	// answer.
	body, err := io.ReadAll(io.LimitReader(r.Body, maxWorkerIDBytes+1))
	id := strings.TrimSpace(string(body))
	if err != nil || id == "" || len(body) > maxWorkerIDBytes {
		http.Error(w, "the body must be a worker's id", http.StatusBadRequest)
		return
	}
	markServing(r) // so that the listener does not evict the connection
	if err := o.apply(r.Context(), id); err != nil {
		status := http.StatusInternalServerError
		if rejection := (*OperationError)(nil); errors.As(err, &rejection) {
			status = rejection.Status
		}
		log.Warn("admin operation rejected", "operation", o.name, "worker", id, "err", err)
		http.Error(w, err.Error(), status)
		return
	}
	log.Info(o.logMessage, "worker", id)
	fmt.Fprintf(w, "%s %s\n", o.name, id)
}

// AdminServer returns the server of the admin API: one call per connection, limited in time and size.
func AdminServer(handler http.Handler, log *slog.Logger) *http.Server {
	server := Server(handler, log)
	server.ReadHeaderTimeout = adminCallTimeout
	server.ReadTimeout = adminCallTimeout
	server.WriteTimeout = adminCallTimeout
	server.MaxHeaderBytes = maxAdminHeaderBytes
	server.SetKeepAlivesEnabled(false)
	return server
}
