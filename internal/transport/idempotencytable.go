package transport

import (
	"container/heap"
	"crypto/sha256"
	"sync"
	"sync/atomic"
	"time"

	"brassdale/internal/decisions/idempotency"
	"brassdale/internal/protocol"
	"brassdale/scheduler"
)

// IdempotencySettings is the block "keys" of the operator's file.
type IdempotencySettings struct {
	Jobs   int `hcl:"jobs,optional"`    // maximum number of jobs remembered at a time
	KeepMB int `hcl:"keep_mb,optional"` // maximum size of their events and answers, in MiB
}

// DefaultIdempotency returns the settings that apply where the operator's file sets none.
func DefaultIdempotency() IdempotencySettings { return IdempotencySettings{Jobs: 8192, KeepMB: 24} }

// IdempotencyTable remembers the job of each Idempotency-Key, over all frontends: while the job is open, and for the deduplication
// window after its end. A request with the same key joins the job. The window counts from the job's end, so it ends later than the
// window in which workers drop a repeated job: no key is started a second time while a worker may remember it.
//
// All methods may be called from any goroutine. mu is locked before the mu of a jobStream, and is never held while a request waits for
// the other process.
type IdempotencyTable struct {
	settings      *IdempotencySettings
	inFlightIDs   *InFlightIDs
	recordEvents  bool         // a frontend streams events, so jobs record them; otherwise they record the final answer only
	retainedBytes atomic.Int64 // events and answers of all jobs
	runningJobs   atomic.Int64 // see RunningJobs

	mu         sync.Mutex
	jobs       map[string]*jobStream // by idempotency key
	peer       *peerTable            // table of the other process during a handover, else nil
	endedJobs  []endedJob            // a heap by forgetAt
	sweepTimer *time.Timer           // runs forgetExpired; nil while endedJobs is empty
}

// NewIdempotencyTable returns an empty table. recordEvents says that a frontend streams the events of jobs.
func NewIdempotencyTable(settings *IdempotencySettings, inFlightIDs *InFlightIDs, recordEvents bool) *IdempotencyTable {
	return &IdempotencyTable{settings: settings, inFlightIDs: inFlightIDs, recordEvents: recordEvents, jobs: map[string]*jobStream{}}
}

// Has reports whether the job of a key is known here. A rejected job does not count: any process may start it again.
func (t *IdempotencyTable) Has(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.knowsLocked(key)
}

// knowsLocked is Has with t.mu held.
func (t *IdempotencyTable) knowsLocked(key string) bool {
	stream := t.jobs[key]
	return stream != nil && !stream.rejected()
}

// RunningJobs returns how many jobs with an idempotency key were started here and have not ended. A job that has ended is counted until it
// was sent to a successor, if there is one.
func (t *IdempotencyTable) RunningJobs() int { return int(t.runningJobs.Load()) }

// reserveJob decides how a request, with or without an idempotency key, is handled. For Start it returns a new stream, whose
// request id is reserved in this process. For Join it returns the known stream. Either way the request is counted as one of its
// readers. For any other decision the stream is nil. resumes says that the client has seen events of the job before. The error is
// errIDInUse if the job would start but an open request of this process has the same request id.
func (t *IdempotencyTable) reserveJob(job *protocol.Job, resumes, runsWithoutReaders bool) (stream *jobStream, decision idempotency.Decision, err error) {
	digest := sha256.Sum256([]byte(job.Target + "\n" + job.Account + "\n" + string(job.Body)))
	hasKey := job.IdempotencyKey != ""
	t.mu.Lock()
	defer t.mu.Unlock()
	var known *idempotency.RememberedJob
	if hasKey {
		stream = t.jobs[job.IdempotencyKey]
	}
	if stream != nil {
		known = &idempotency.RememberedJob{Rejected: stream.rejected(), SameJob: stream.digest == digest}
	}
	decision = idempotency.Decide(known, resumes, t.hasCapacityLocked())
	switch decision {
	case idempotency.Start:
		if hasKey && t.peer != nil && !t.peer.isPredecessor {
			return nil, decision, errStartsAtSuccessor
		}
		stream = t.newJobStream(job, digest)
		// Under the lock the id is reserved in this process only; the caller asks the predecessor.
		if !t.inFlightIDs.Reserve(job.ID, nil) {
			return nil, decision, errIDInUse
		}
		if hasKey {
			t.jobs[job.IdempotencyKey] = stream
			t.runningJobs.Add(1)
			stream.recordEnd = sync.OnceFunc(func() { t.runningJobs.Add(-1) })
		}
	case idempotency.Join:
	default:
		return nil, decision, nil
	}
	stream.readers++
	stream.runsWithoutReaders = stream.runsWithoutReaders || runsWithoutReaders && hasKey
	return stream, decision, nil
}

// hasCapacityLocked reports whether one more job can be remembered. t.mu is held.
func (t *IdempotencyTable) hasCapacityLocked() bool {
	return len(t.jobs) < t.settings.Jobs && t.retainedBytes.Load() < t.maxRetainedBytes()
}

func (t *IdempotencyTable) maxRetainedBytes() int64 { return int64(t.settings.KeepMB) << 20 }

// setRequestID records the core's id of a job, once the job was submitted.
func (t *IdempotencyTable) setRequestID(stream *jobStream, id scheduler.RequestID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stream.requestID = id
}

// removeReader records that a reader left before the job's end. It reports whether the job must be abandoned, with the core's id
// of the job. From then on the key of an abandoned job is free in this table; the scheduler
// still knows where it may have run (scheduler.KeyedRun).
func (t *IdempotencyTable) removeReader(stream *jobStream) (id scheduler.RequestID, abandon bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	stream.readers--
	abandon = !stream.hasEnded() && idempotency.AbandonWithoutReaders(stream.readers, stream.runsWithoutReaders)
	if abandon && t.jobs[stream.key] == stream {
		delete(t.jobs, stream.key)
	}
	return stream.requestID, abandon
}

// remove forgets an abandoned job.
func (t *IdempotencyTable) remove(stream *jobStream) {
	stream.recordEnd()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeLocked(stream)
}

// removeLocked forgets a job and its bytes, unless its key belongs to a newer job by now. t.mu is held.
func (t *IdempotencyTable) removeLocked(stream *jobStream) {
	if t.jobs[stream.key] == stream {
		delete(t.jobs, stream.key)
	}
	t.retainedBytes.Add(-stream.retainedBytes.Swap(0))
}

// minSweepInterval is the minimum time between two sweeps, and so the longest time for which a job may be remembered beyond its
// window. One timer serves all jobs, since a timer for each job would cost more than the rest of its bookkeeping.
const minSweepInterval = 100 * time.Millisecond

// forgetAfter schedules an ended job to be forgotten after its window.
func (t *IdempotencyTable) forgetAfter(stream *jobStream, window time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	heap.Push((*byForgetTime)(&t.endedJobs), endedJob{stream, time.Now().Add(window)})
	if t.sweepTimer == nil {
		t.sweepTimer = time.AfterFunc(window, t.forgetExpired)
	}
}

// forgetExpired forgets the jobs whose window has ended, and starts the timer for the next one.
func (t *IdempotencyTable) forgetExpired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for len(t.endedJobs) > 0 && !t.endedJobs[0].forgetAt.After(now) {
		t.removeLocked(heap.Pop((*byForgetTime)(&t.endedJobs)).(endedJob).stream)
	}
	t.sweepTimer = nil
	if len(t.endedJobs) > 0 {
		t.sweepTimer = time.AfterFunc(max(t.endedJobs[0].forgetAt.Sub(now), minSweepInterval), t.forgetExpired)
	}
}
