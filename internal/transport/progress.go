package transport

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"brassdale/internal/protocol"
	"brassdale/internal/routing"
)

const (
	// A job's deadline is this much before its client gives up (a twentieth of short waits), so that the
	// final answer is with the client by then.
	answerMargin = 100 * time.Millisecond

	// Events of one job, of which progress may take so many: an endpoint that floods is cut short.
	mostEvents = 256
	eventCost  = 64 // of an event beside its data, in memory
)

// ProgressSettings are the operator's, in a block front "progress".
type ProgressSettings struct {
	Listen    string `hcl:"listen"`             // an address of its own
	Cleartext bool   `hcl:"cleartext,optional"` // the address may be off loopback
	Upstream  string `hcl:"upstream,optional"`  // how endpoints are asked to answer: "lines" or "events"
	Jobs      int    `hcl:"jobs,optional"`      // most jobs remembered at a time
	KeepMB    int    `hcl:"keep_mb,optional"`   // most memory for their answers
}

// DefaultProgress holds what an operator leaves out.
func DefaultProgress() ProgressSettings {
	return ProgressSettings{Upstream: "lines", Jobs: 2048, KeepMB: 24}
}

// Progress is the front for progress by server-sent events. A job belongs to its key, not to a
// connection: it runs on to its deadline when its client's stream drops, and a repeat of the key attaches
// to it. Its table never starts a key twice while endpoints may remember it.
type Progress struct {
	front
	set   *ProgressSettings
	bytes atomic.Int64 // of the events of all jobs in the table

	mu   sync.Mutex
	jobs map[string]*watched // by key
	peer *peer               // the other process while one replaces the other
}

// watched is a job with its events so far. Each reader goes through them at its own pace, so a slow one
// holds up neither the core, which only appends, nor another reader.
type watched struct {
	front  *Progress // whose table it is in
	key    string
	id     string // Req-Id of the request that started it
	digest [sha256.Size]byte
	window time.Duration

	release func() // frees the id, once

	mu      sync.Mutex
	forget  time.Time // when it is, once it has ended
	events  []protocol.Event
	started bool
	final   *routing.Answer
	changed chan struct{} // closed and made anew with each event
	bytes   atomic.Int64
}

// NewProgress makes the front.
func NewProgress(c Core, p *protocol.Live, o *ProgressSettings, g *Gate, ids *OpenIDs, shares *Shares, log *slog.Logger) *Progress {
	return &Progress{front: front{core: c, params: p, gate: g, ids: ids, shares: shares, log: log}, set: o, jobs: map[string]*watched{}}
}

func (f *Progress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	job.Events = f.set.Upstream == "events"
	wait := time.Until(job.Deadline)
	job.Deadline = job.Deadline.Add(-min(answerMargin, wait/20))
	digest := sha256.Sum256([]byte(job.Target + "\n" + r.Header.Get("Req-Owner") + "\n" + string(job.Body)))

	if peer := f.elsewhere(job.Key); peer != nil {
		peer.relay(w, r, job)
		return
	}
	j, fresh, err := f.find(job, digest, again != "")
	switch {
	case err == errFull:
		f.refuse(w, r, job.ClassName, "out of remembered jobs")
		return
	case err != nil:
		f.rejectJob(w, r, err)
		return
	case j.digest != digest:
		http.Error(w, "Idempotency-Key was used for another job", http.StatusUnprocessableEntity)
		return
	}
	leave := func() {}
	if fresh {
		id := f.core.Submit(inboundOf(job, j))
		if job.Key == "" { // nobody could come back for it
			leave = func() {
				f.core.Leave(id)
				f.forget(j)
				j.release()
			}
		}
	}
	f.stream(w, r, j, seen, leave)
}

var (
	errFull = errors.New("no room for a further job")

	// Known to another dispatcher, or to this one before a restart: its job may run or have run elsewhere, so
	// a run from here could be one too many.
	errUnknown = &protocol.Reject{Status: http.StatusBadGateway, Why: "the job of this Idempotency-Key is not known here; nothing was started"}
)

// find gives the job of a key: the one that is known, or a fresh one. A reconnect gets none that is not
// known. A job that was refused never counts as run, so a new try of its key starts anew.
func (f *Progress) find(job *protocol.Job, digest [sha256.Size]byte, reconnect bool) (j *watched, fresh bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if j := f.jobs[job.Key]; j != nil && job.Key != "" && (reconnect || !j.refused()) {
		return j, false, nil
	}
	switch {
	case reconnect:
		return nil, false, errUnknown
	case len(f.jobs) >= f.set.Jobs || f.bytes.Load() >= int64(f.set.KeepMB)<<20:
		return nil, false, errFull
	case !f.ids.take(job.ID):
		return nil, false, errIDInUse
	}
	j = &watched{front: f, key: job.Key, id: job.ID, digest: digest, changed: make(chan struct{}),
		window: job.Window, release: sync.OnceFunc(func() { f.ids.free(job.ID) })}
	if job.Key != "" {
		f.jobs[job.Key] = j
	}
	return j, true, nil
}

// forget drops a finished job whose window has passed, unless its key has a newer one.
func (f *Progress) forget(j *watched) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.jobs[j.key] == j {
		delete(f.jobs, j.key)
	}
	f.bytes.Add(-j.bytes.Swap(0))
}

// stream sends a job's events from the one after seen. Until there is one, the answer is still free to be
// a plain HTTP status.
func (f *Progress) stream(w http.ResponseWriter, r *http.Request, j *watched, seen int, leave func()) {
	c := http.NewResponseController(w)
	for begun := false; ; {
		events, final, changed, ok := j.after(seen)
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
			return
		}
	}
}

func (j *watched) refused() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.final != nil && j.final.Verdict == routing.Refused
}

// after gives the events behind the first so many; not ok if there are not so many.
func (j *watched) after(seen int) (events []protocol.Event, final *routing.Answer, changed <-chan struct{}, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if seen > len(j.events) {
		return nil, nil, nil, false
	}
	return j.events[seen:len(j.events):len(j.events)], j.final, j.changed, true
}

// add appends an event; j.mu is held.
func (j *watched) add(name string, retry time.Duration, data any) {
	text, err := json.Marshal(data)
	if err != nil { // of plain values: cannot be
		text = []byte("{}")
	}
	j.events = append(j.events, protocol.Event{ID: strconv.Itoa(len(j.events) + 1), Name: name, Data: string(text), Retry: retry})
	j.bytes.Add(int64(len(text)) + eventCost)
	j.front.bytes.Add(int64(len(text)) + eventCost)
	close(j.changed)
	j.changed = make(chan struct{})
}

// news is what an event's data holds; each event uses some.
type news struct {
	ID           string   `json:"id"`
	Attempt      *int     `json:"attempt,omitempty"`
	Share        *float64 `json:"share,omitempty"`
	Result       *string  `json:"result,omitempty"`
	Reason       string   `json:"reason,omitempty"`
	RetryAfterMS int64    `json:"retry_after_ms,omitempty"`
}

// Began tells of the first start only: that a job was sent again is the dispatcher's matter.
func (j *watched) Began(attempt int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !j.started && j.final == nil {
		j.started = true
		j.add("started", 0, news{ID: j.id, Attempt: &attempt})
	}
}

// Progressed tells how far an attempt is. A further attempt starts over.
func (j *watched) Progressed(attempt int, share float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.final == nil && len(j.events) < mostEvents {
		j.add("progress", 0, news{ID: j.id, Attempt: &attempt, Share: &share})
	}
}

// Answered ends the job. It is remembered for its window from now on, which ends later than the one in
// which endpoints drop a repeat.
func (j *watched) Answered(a routing.Answer) {
	j.release()
	j.end(a)
	j.front.hand(j)
}

func (j *watched) end(a routing.Answer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.final = &a
	j.forget = time.Now().Add(j.window)
	switch a.Verdict {
	case routing.Served:
		result := string(a.Result)
		j.add("done", 0, news{ID: j.id, Result: &result})
	case routing.Refused:
		j.add("refused", a.RetryAfter, news{ID: j.id, RetryAfterMS: a.RetryAfter.Milliseconds()})
	default:
		reason := "failed"
		if a.Expired {
			reason = "deadline"
		}
		j.add("failed", 0, news{ID: j.id, Reason: reason})
	}
	time.AfterFunc(j.window, func() { j.front.forget(j) })
}
