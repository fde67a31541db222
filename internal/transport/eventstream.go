package transport

import (
	"context"
	"net/http"
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
)

// streamEvents sends the events of a job after the first seen ones, until the job has ended or the client has left. As long as no
// event was sent, a job that ends without having been served is answered with a plain HTTP status instead. ended is
// false if the client left before the job's end; responded says whether anything was sent by then.
func streamEvents(ctx context.Context, w http.ResponseWriter, stream *jobStream, seen int) (ended, responded bool) {
	out := eventWriter{w: w, controller: http.NewResponseController(w)}
	for {
		events, answer, changed, ok := stream.eventsAfter(seen)
		switch {
		case !ok:
			http.Error(w, "Last-Event-ID is not of this job; nothing was started", http.StatusBadGateway)
			return true, true
		case len(events) == 0 && answer != nil && !out.begun: // the client has had the final answer
			w.WriteHeader(http.StatusNoContent)
			return true, true
		case len(events) == 1 && seen == 0 && !out.begun && answer != nil && answer.Verdict != routing.Served:
			writeAnswer(w, *answer)
			return true, true
		}
		if len(events) > 0 || seen > 0 && !out.begun { // the head shows a client that resumes that the job goes on
			if err := out.send(events); err != nil {
				return false, true
			}
			seen += len(events)
		}
		if answer != nil {
			return true, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false, out.begun
		}
	}
}

// eventWriter writes events to a client.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	begun      bool // the head was written
}

// send writes events, and before the first ones the head, and flushes them. It blocks until the client has taken them, for
// clientReadTimeout at most.
func (o *eventWriter) send(events []protocol.Event) error {
	if !o.begun {
		o.begun = true
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set("Cache-Control", "no-store")
	}
	_ = o.controller.SetWriteDeadline(time.Now().Add(clientReadTimeout)) // fails only on a closed connection, as the write does
	for _, event := range events {
		if _, err := o.w.Write(event.Encode()); err != nil {
			return err
		}
	}
	return o.controller.Flush()
}
