package transport

import (
	"context"
	"net/http"
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
)

// streamEvents sends the events of a job until the job has ended or the client has left. The client has seen the first events
// before; the parameter seen is their number. If the job ends without having been served, and no event was sent before, the answer
// is a plain HTTP status instead. ended is false if the client left before the job's end; responded says whether anything was sent
// by then.
func streamEvents(ctx context.Context, w http.ResponseWriter, stream *jobStream, seen int) (ended, responded bool) {
	out := eventWriter{w: w, controller: http.NewResponseController(w)}
	for {
		events, answer, changed, ok := stream.eventsAfter(seen)
		switch {
		case !ok:
			http.Error(w, "Last-Event-ID is not of this job; nothing was started", http.StatusBadGateway)
			return true, true
		case len(events) == 0 && answer != nil && !out.headWritten: // the client has received the final answer before
			w.WriteHeader(http.StatusNoContent)
			return true, true
		case len(events) == 1 && seen == 0 && !out.headWritten && answer != nil && answer.Verdict != routing.Served:
			writeAnswer(w, *answer)
			return true, true
		}
		if len(events) > 0 || seen > 0 && !out.headWritten { // the response head shows a resuming client that the job goes on
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
			return false, out.headWritten
		}
	}
}

// eventWriter writes events to a client.
type eventWriter struct {
	w           http.ResponseWriter
	controller  *http.ResponseController
	headWritten bool // the head was written
}

// send writes events, preceded by the response head on the first call, and flushes them. It blocks until the client has read
// them, for clientReadTimeout at most.
func (o *eventWriter) send(events []protocol.Event) error {
	if !o.headWritten {
		o.headWritten = true
		o.w.Header().Set("Content-Type", "text/event-stream")
		o.w.Header().Set("Cache-Control", "no-store")
	}
	_ = o.controller.SetWriteDeadline(time.Now().Add(clientReadTimeout)) // fails only on a closed connection, on which the write fails too
	for _, event := range events {
		if _, err := o.w.Write(event.Encode()); err != nil {
			return err
		}
	}
	return o.controller.Flush()
}
