package transport

import (
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
)

// ProgressSettings are the operator's, in a block front "progress".
type ProgressSettings struct {
	Listen    string `hcl:"listen"`             // an address of its own
	Cleartext bool   `hcl:"cleartext,optional"` // the address may be off loopback
	Upstream  string `hcl:"upstream,optional"`  // how endpoints are asked to answer: "lines" or "events"
}

// DefaultProgress holds what an operator leaves out.
func DefaultProgress() ProgressSettings {
	return ProgressSettings{Upstream: "lines"}
}

// A job's deadline is this much before its client gives up (a twentieth of short waits), so that the
// final answer is with the client by then.
const answerMargin = 100 * time.Millisecond

// ProgressFrontend is the front for progress by server-sent events. A job belongs to its key, not to a
// connection: it runs on to its deadline when its client's stream drops, and a repeat of the key attaches
// to it.
type ProgressFrontend struct {
	front
	settings *ProgressSettings
}

// NewProgressFrontend makes the front.
func NewProgressFrontend(c Core, p *protocol.LiveSettings, o *ProgressSettings, g *Listener, ids *InFlightIDs, keys *IdempotencyTable, shares *AccountQuotas, log *slog.Logger) *ProgressFrontend {
	return &ProgressFrontend{front: front{core: c, params: p, gate: g, ids: ids, keys: keys, shares: shares, log: log}, settings: o}
}

func (f *ProgressFrontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	job, done := f.admit(w, r)
	defer done()
	if job == nil {
		return
	}
	seen, again := 0, r.Header.Get("Last-Event-ID")
	if again != "" {
		var err error
		if seen, err = strconv.Atoi(again); err != nil || seen < 0 {
			http.Error(w, "Last-Event-ID is not one of ours", http.StatusBadRequest)
			return
		}
	}
	job.Events = f.settings.Upstream == "events"
	wait := time.Until(job.Deadline)
	job.Deadline = job.Deadline.Add(-min(answerMargin, wait/20))
	if f.relayToPeer(w, r, job, "") {
		return
	}
	j, fresh, ok := f.joinOrStart(w, r, job, again != "", true)
	if !ok {
		return
	}
	if fresh {
		f.keys.setRequestID(j, f.core.Submit(coreRequest(job, j)))
	}
	leave := func() {
		if job.IdempotencyKey == "" { // nobody could come back for it
			f.abandonJob(j)
		}
	}
	f.streamEvents(w, r, j, seen, leave)
}

// streamEvents sends a job's events from the one after seen. Until there is one, the answer is still free to be
// a plain HTTP status.
func (f *ProgressFrontend) streamEvents(w http.ResponseWriter, r *http.Request, j *jobStream, seen int, leave func()) {
	c := http.NewResponseController(w)
	for begun := false; ; {
		events, final, changed, ok := j.eventsAfter(seen)
		switch {
		case !ok: // its id is of no event of this job
			http.Error(w, "Last-Event-ID is not of this job; nothing was started", http.StatusBadGateway)
			return
		case len(events) == 0 && final != nil && !begun: // the client has had the final answer
			w.WriteHeader(http.StatusNoContent)
			return
		case len(events) == 1 && seen == 0 && !begun && final != nil && final.Verdict != routing.Served:
			writeAnswer(w, *final)
			return
		}
		if len(events) > 0 || seen > 0 && !begun { // who comes back hears at once that the job goes on
			if !begun {
				begun = true
				w.Header().Set("Content-Type", "text/event-stream")
				w.Header().Set("Cache-Control", "no-store")
			}
			_ = c.SetWriteDeadline(time.Now().Add(readerWithin))
			for _, ev := range events {
				if _, err := w.Write(ev.Encode()); err != nil {
					leave()
					return
				}
			}
			if err := c.Flush(); err != nil {
				leave()
				return
			}
			seen += len(events)
		}
		if final != nil {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done(): // the stream dropped; the job goes on until its deadline
			leave()
			if !begun {
				f.respondToDepartedClient(w, r)
			}
			return
		}
	}
}
