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
	settings      *IdempotencySettings
	inFlightIDs   *InFlightIDs
	recordEvents  bool         // a front streams jobs' events: they are kept too
	retainedBytes atomic.Int64 // of the events and answers of all jobs

	mu         sync.Mutex
	jobs       map[string]*jobStream // by key
	peer       *peerTable            // the other process while one replaces the other
	endedJobs  []endedJob            // jobs that have ended, a heap by when they are forgotten
	sweepTimer *time.Timer           // nil while none has
}

// endedJob is a job that has ended and is forgotten at a time.
type endedJob struct {
	job      *jobStream
	forgetAt time.Time
}

type byForgetTime []endedJob

func (o byForgetTime) Len() int           { return len(o) }
func (o byForgetTime) Less(i, j int) bool { return o[i].forgetAt.Before(o[j].forgetAt) }
func (o byForgetTime) Swap(i, j int)      { o[i], o[j] = o[j], o[i] }
func (o *byForgetTime) Push(x any)        { *o = append(*o, x.(endedJob)) }
func (o *byForgetTime) Pop() any {
	last := (*o)[len(*o)-1]
	(*o)[len(*o)-1] = endedJob{}
	*o = (*o)[:len(*o)-1]
	return last
}

// minSweepInterval is how much longer than its window a job may be remembered: a timer for each would cost more than the job.
const minSweepInterval = 100 * time.Millisecond

// forgetAfter has a job forgotten behind its window, unless its key has a newer one by then.
func (k *IdempotencyTable) forgetAfter(j *jobStream, window time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	heap.Push((*byForgetTime)(&k.endedJobs), endedJob{j, time.Now().Add(window)})
	if k.sweepTimer == nil {
		k.sweepTimer = time.AfterFunc(window, k.forgetExpired)
	}
}

// forgetExpired forgets what is due.
func (k *IdempotencyTable) forgetExpired() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for len(k.endedJobs) > 0 && !k.endedJobs[0].forgetAt.After(now) {
		k.removeLocked(heap.Pop((*byForgetTime)(&k.endedJobs)).(endedJob).job)
	}
	k.sweepTimer = nil
	if len(k.endedJobs) > 0 {
		k.sweepTimer = time.AfterFunc(max(k.endedJobs[0].forgetAt.Sub(now), minSweepInterval), k.forgetExpired)
	}
}

// NewIdempotencyTable makes the table. streams tells that there is a front that streams jobs' events.
func NewIdempotencyTable(s *IdempotencySettings, ids *InFlightIDs, streams bool) *IdempotencyTable {
	return &IdempotencyTable{settings: s, inFlightIDs: ids, recordEvents: streams, jobs: map[string]*jobStream{}}
}

// errUnknownKey: the job is known to another dispatcher, or was to this one before a restart. It may run or have run
// elsewhere, so a run from here could be one too many.
var errUnknownKey = &protocol.RequestError{Status: http.StatusBadGateway, Reason: "the job of this Idempotency-Key is not known here; nothing was started"}

var errKeyMismatch = &protocol.RequestError{Status: http.StatusUnprocessableEntity, Reason: "Idempotency-Key was used for another job"}

// joinOrStart gives the job of a request's key, the one that is known or a fresh one, with the request as one of its readers;
// or it answers the request itself. kept tells that the job is to go on without readers.
func (f *front) joinOrStart(w http.ResponseWriter, r *http.Request, job *protocol.Job, again, kept bool) (j *jobStream, fresh, ok bool) {
	digest := sha256.Sum256([]byte(job.Target + "\n" + job.Account + "\n" + string(job.Body)))
	k := f.keys
	k.mu.Lock()
	j = k.jobs[job.IdempotencyKey]
	if job.IdempotencyKey == "" {
		j = nil
	}
	var known *idempotency.RememberedJob
	if j != nil {
		known = &idempotency.RememberedJob{Rejected: j.rejected(), SameJob: j.digest == digest}
	}
	verdict := idempotency.Decide(known, again, len(k.jobs) < k.settings.Jobs && k.retainedBytes.Load() < int64(k.settings.KeepMB)<<20)
	if verdict == idempotency.Start {
		j = &jobStream{table: k, key: job.IdempotencyKey, id: job.ID, digest: digest, changed: make(chan struct{}),
			deduplicationWindow: job.DeduplicationWindow, release: sync.OnceFunc(func() { k.inFlightIDs.releaseEverywhere(job.ID) })}
	}
	taken := verdict != idempotency.Start || k.inFlightIDs.Reserve(job.ID, nil) // the predecessor is asked when nothing is held up by it
	if ok = taken && (verdict == idempotency.Start || verdict == idempotency.Join); ok {
		j.readers++
		j.runsWithoutReaders = j.runsWithoutReaders || kept && job.IdempotencyKey != ""
		if verdict == idempotency.Start && job.IdempotencyKey != "" {
			k.jobs[job.IdempotencyKey] = j
		}
	}
	k.mu.Unlock()
	if ok && verdict == idempotency.Start && !k.inFlightIDs.confirmWithPredecessor(job.ID) {
		j.finish(routing.Answer{Verdict: routing.Rejected}) // for who joined meanwhile: it never ran
		taken, ok = false, false
	}
	switch {
	case !taken:
		f.rejectJob(w, r, errIDInUse)
	case verdict == idempotency.TableFull:
		f.refuse(w, r, job.ClassName, "out of remembered jobs")
	case verdict == idempotency.UnknownKey:
		f.rejectJob(w, r, errUnknownKey)
	case verdict == idempotency.KeyMismatch:
		f.rejectJob(w, r, errKeyMismatch)
	}
	return j, verdict == idempotency.Start, ok
}

// setRequestID notes a job's number at the core.
func (k *IdempotencyTable) setRequestID(j *jobStream, id scheduler.RequestID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	j.requestID = id
}

// abandonJob notes that a reader has left before the end. With the last one the job is given up, unless it is to go on.
func (f *front) abandonJob(j *jobStream) {
	f.keys.mu.Lock()
	j.readers--
	ended := j.hasEnded()
	over := !ended && idempotency.AbandonWithoutReaders(j.readers, j.runsWithoutReaders)
	if over && f.keys.jobs[j.key] == j {
		delete(f.keys.jobs, j.key) // whoever comes now begins anew
	}
	id := j.requestID
	f.keys.mu.Unlock()
	if over {
		f.core.ClientLeft(id)
		f.keys.remove(j)
		j.release()
	}
}

// serveKeyedJob answers a request with its key's job in one piece.
func (f *front) serveKeyedJob(w http.ResponseWriter, r *http.Request, job *protocol.Job) {
	if f.relayToPeer(w, r, job, relayWhole) {
		return
	}
	j, fresh, ok := f.joinOrStart(w, r, job, false, false)
	if !ok {
		return
	}
	if fresh {
		f.keys.setRequestID(j, f.core.Submit(coreRequest(job, j)))
	} else {
		if !f.ids.reserveEverywhere(job.ID) { // also where it is that of the job itself
			f.abandonJob(j)
			f.rejectJob(w, r, errIDInUse)
			return
		}
		defer f.ids.releaseEverywhere(job.ID)
	}
	// Only one that joined may have a deadline before the job's: the core answers all others in time.
	var late <-chan time.Time
	if !fresh {
		timer := time.NewTimer(time.Until(job.Deadline))
		defer timer.Stop()
		late = timer.C
	}
	for {
		_, final, changed, _ := j.eventsAfter(0)
		if final != nil {
			f.respond(w, r, *final)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			f.abandonJob(j)
			f.respondToDepartedClient(w, r)
			return
		case <-late:
			f.abandonJob(j)
			f.respond(w, r, routing.Answer{Verdict: routing.Failed, DeadlinePassed: true})
			return
		}
	}
}

// remove drops a job that was given up.
func (k *IdempotencyTable) remove(j *jobStream) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.removeLocked(j)
}

// removeLocked forgets a job; k.mu is held.
func (k *IdempotencyTable) removeLocked(j *jobStream) {
	if k.jobs[j.key] == j {
		delete(k.jobs, j.key)
	}
	k.retainedBytes.Add(-j.retainedBytes.Swap(0))
}
