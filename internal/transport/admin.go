package transport

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"
)

const (
	// MostCallers is how many callers the admin endpoint holds at a time; past it the one that has not finished
	// its call for the longest goes.
	MostCallers = 12

	adminCallTimeout = 2 * time.Second // for a whole call; who means it takes far less
	maxWorkerIDBytes = 256
)

// Operations is what the admin endpoint opens on. No method takes longer than the context allows.
type Operations interface {
	Ready() bool
	Metrics() string
	Detach(ctx context.Context, id string) error
	Attach(ctx context.Context, id string) error
}

// OperationError is an operator's call that is answered with no, and why.
type OperationError struct {
	Status int
	Reason string
}

func (r *OperationError) Error() string { return r.Reason }

// AdminHandler is the handler of the admin endpoint. A 2xx means yes.
func AdminHandler(o Operations, log *slog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /_ready", func(w http.ResponseWriter, _ *http.Request) {
		if !o.Ready() {
			http.Error(w, "not yet, or not any more", http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "ready\n")
	})
	mux.HandleFunc("GET /_vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Header().Set("Cache-Control", "no-store")
		io.WriteString(w, o.Metrics())
	})
	worker := func(name string, do func(context.Context, string) error) {
		mux.HandleFunc("POST /_workers/"+name, func(w http.ResponseWriter, r *http.Request) {
			// What is too long is read on a little by net/http: closed at once, its caller might not see the no.
			body, err := io.ReadAll(io.LimitReader(r.Body, maxWorkerIDBytes+1))
			id := strings.TrimSpace(string(body))
			if err != nil || id == "" || len(body) > maxWorkerIDBytes {
				http.Error(w, "the body must be a worker's id", http.StatusBadRequest)
				return
			}
			enterPhase(r, phaseServing) // it has finished its call: it is not one of those that make room
			if err = do(r.Context(), id); err != nil {
				status := http.StatusInternalServerError
				if no, ok := err.(*OperationError); ok {
					status = no.Status
				}
				log.Warn("operator's call refused", "call", name, "worker", id, "err", err)
				http.Error(w, err.Error(), status)
				return
			}
			log.Info("operator's call", "call", name, "worker", id)
			fmt.Fprintf(w, "%s %s\n", name, id)
		})
	}
	worker("detach", o.Detach)
	worker("attach", o.Attach)
	return mux
}

// AdminServer is the server of the admin endpoint: one call a connection, each bounded in time and bytes.
func AdminServer(h http.Handler, log *slog.Logger) *http.Server {
	s := Server(h, log)
	s.ReadHeaderTimeout, s.ReadTimeout, s.WriteTimeout, s.MaxHeaderBytes = adminCallTimeout, adminCallTimeout, adminCallTimeout, 4<<10
	s.SetKeepAlivesEnabled(false)
	return s
}
