package transport

import (
	"container/heap"
	"crypto/sha256"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"brassdale/internal/decisions/idempotency"
	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/scheduler"
)

// IdempotencySettings are the operator's, in a block keys.
type IdempotencySettings struct {
	Jobs   int `hcl:"jobs,optional"`    // most jobs remembered at a time
	KeepMB int `hcl:"keep_mb,optional"` // most memory for their answers
}

// DefaultIdempotency holds what an operator leaves out.
func DefaultIdempotency() IdempotencySettings { return IdempotencySettings{Jobs: 8192, KeepMB: 24} }

// IdempotencyTable remembers the job of each Idempotency-Key, at whichever front it came in: while it is open, and for the key's
// window after its end, which ends later than the one in which endpoints drop a repeat. Who comes with the key joins
// it; so no key is started twice while endpoints may remember it.
type IdempotencyTable struct {
	set     *IdempotencySettings
	ids     *InFlightIDs
	streams bool         // a front streams jobs' events: they are kept too
	bytes   atomic.Int64 // of the events and answers of all jobs

	mu   sync.Mutex
	jobs map[string]*watched // by key
	peer *peer               // the other process while one replaces the other
	old  []retired           // jobs that have ended, a heap by when they are forgotten
	look *time.Timer         // nil while none has
}

// retired is a job that has ended and is forgotten at a time.
type retired struct {
	job *watched
	at  time.Time
}

type byAge []retired

func (o byAge) Len() int           { return len(o) }
func (o byAge) Less(i, j int) bool { return o[i].at.Before(o[j].at) }
func (o byAge) Swap(i, j int)      { o[i], o[j] = o[j], o[i] }
func (o *byAge) Push(x any)        { *o = append(*o, x.(retired)) }
func (o *byAge) Pop() any {
	last := (*o)[len(*o)-1]
	(*o)[len(*o)-1] = retired{}
	*o = (*o)[:len(*o)-1]
	return last
}

// forgetEvery is how much longer than its window a job may be remembered: a timer for each would cost more than the job.
const forgetEvery = 100 * time.Millisecond

// retire has a job forgotten behind its window, unless its key has a newer one by then.
func (k *IdempotencyTable) retire(j *watched, window time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	heap.Push((*byAge)(&k.old), retired{j, time.Now().Add(window)})
	if k.look == nil {
		k.look = time.AfterFunc(window, k.sweep)
	}
}

// sweep forgets what is due.
func (k *IdempotencyTable) sweep() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for len(k.old) > 0 && !k.old[0].at.After(now) {
		k.drop(heap.Pop((*byAge)(&k.old)).(retired).job)
	}
	k.look = nil
	if len(k.old) > 0 {
		k.look = time.AfterFunc(max(k.old[0].at.Sub(now), forgetEvery), k.sweep)
	}
}

// NewIdempotencyTable makes the table. streams tells that there is a front that streams jobs' events.
func NewIdempotencyTable(s *IdempotencySettings, ids *InFlightIDs, streams bool) *IdempotencyTable {
	return &IdempotencyTable{set: s, ids: ids, streams: streams, jobs: map[string]*watched{}}
}

// errUnknown: the job is known to another dispatcher, or was to this one before a restart. It may run or have run
// elsewhere, so a run from here could be one too many.
var errUnknown = &protocol.RequestError{Status: http.StatusBadGateway, Reason: "the job of this Idempotency-Key is not known here; nothing was started"}

var errAnother = &protocol.RequestError{Status: http.StatusUnprocessableEntity, Reason: "Idempotency-Key was used for another job"}

// find gives the job of a request's key, the one that is known or a fresh one, with the request as one of its readers;
// or it answers the request itself. kept tells that the job is to go on without readers.
func (f *front) find(w http.ResponseWriter, r *http.Request, job *protocol.Job, again, kept bool) (j *watched, fresh, ok bool) {
	digest := sha256.Sum256([]byte(job.Target + "\n" + job.Account + "\n" + string(job.Body)))
	k := f.keys
	k.mu.Lock()
	j = k.jobs[job.IdempotencyKey]
	if job.IdempotencyKey == "" {
		j = nil
	}
	var known *idempotency.RememberedJob
	if j != nil {
		known = &idempotency.RememberedJob{Rejected: j.refused(), SameJob: j.digest == digest}
	}
	verdict := idempotency.Decide(known, again, len(k.jobs) < k.set.Jobs && k.bytes.Load() < int64(k.set.KeepMB)<<20)
	if verdict == idempotency.Start {
		j = &watched{keys: k, key: job.IdempotencyKey, id: job.ID, digest: digest, changed: make(chan struct{}),
			window: job.DeduplicationWindow, release: sync.OnceFunc(func() { k.ids.free(job.ID) })}
	}
	taken := verdict != idempotency.Start || k.ids.Reserve(job.ID, nil) // the predecessor is asked when nothing is held up by it
	if ok = taken && (verdict == idempotency.Start || verdict == idempotency.Join); ok {
		j.readers++
		j.kept = j.kept || kept && job.IdempotencyKey != ""
		if verdict == idempotency.Start && job.IdempotencyKey != "" {
			k.jobs[job.IdempotencyKey] = j
		}
	}
	k.mu.Unlock()
	if ok && verdict == idempotency.Start && !k.ids.confirm(job.ID) {
		j.end(routing.Answer{Verdict: routing.Rejected}) // for who joined meanwhile: it never ran
		taken, ok = false, false
	}
	switch {
	case !taken:
		f.rejectJob(w, r, errIDInUse)
	case verdict == idempotency.TableFull:
		f.refuse(w, r, job.ClassName, "out of remembered jobs")
	case verdict == idempotency.UnknownKey:
		f.rejectJob(w, r, errUnknown)
	case verdict == idempotency.KeyMismatch:
		f.rejectJob(w, r, errAnother)
	}
	return j, verdict == idempotency.Start, ok
}

// submitted notes a job's number at the core.
func (k *IdempotencyTable) submitted(j *watched, id scheduler.RequestID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	j.request = id
}

// abandon notes that a reader has left before the end. With the last one the job is given up, unless it is to go on.
func (f *front) abandon(j *watched) {
	f.keys.mu.Lock()
	j.readers--
	ended := j.ended()
	over := !ended && idempotency.AbandonWithoutReaders(j.readers, j.kept)
	if over && f.keys.jobs[j.key] == j {
		delete(f.keys.jobs, j.key) // whoever comes now begins anew
	}
	id := j.request
	f.keys.mu.Unlock()
	if over {
		f.core.ClientLeft(id)
		f.keys.forget(j)
		j.release()
	}
}

// whole answers a request with its key's job in one piece.
func (f *front) whole(w http.ResponseWriter, r *http.Request, job *protocol.Job) {
	if f.elsewhere(w, r, job, inOnePiece) {
		return
	}
	j, fresh, ok := f.find(w, r, job, false, false)
	if !ok {
		return
	}
	if fresh {
		f.keys.submitted(j, f.core.Submit(inboundOf(job, j)))
	} else {
		if !f.ids.take(job.ID) { // also where it is that of the job itself
			f.abandon(j)
			f.rejectJob(w, r, errIDInUse)
			return
		}
		defer f.ids.free(job.ID)
	}
	// Only one that joined may have a deadline before the job's: the core answers all others in time.
	var late <-chan time.Time
	if !fresh {
		timer := time.NewTimer(time.Until(job.Deadline))
		defer timer.Stop()
		late = timer.C
	}
	for {
		_, final, changed, _ := j.after(0)
		if final != nil {
			f.write(w, r, *final)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			f.abandon(j)
			f.left(w, r)
			return
		case <-late:
			f.abandon(j)
			f.write(w, r, routing.Answer{Verdict: routing.Failed, DeadlinePassed: true})
			return
		}
	}
}

// forget drops a job that was given up.
func (k *IdempotencyTable) forget(j *watched) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.drop(j)
}

// drop forgets a job; k.mu is held.
func (k *IdempotencyTable) drop(j *watched) {
	if k.jobs[j.key] == j {
		delete(k.jobs, j.key)
	}
	k.bytes.Add(-j.bytes.Swap(0))
}
