package scheduler

import "slices"

// Keyed runs: what is remembered of the idempotency keys that may have run, beyond the requests that carried them. A client that has left may
// send its key again with another request; workers drop that repeat only in the deduplication scope of the first run, within its window.

// maxKeyedRuns bounds the memory for keyed runs. Beyond it the oldest is forgotten.
const maxKeyedRuns = 1 << 15

// KeyedRun is the first attempt of an idempotency key that may have executed and whose deduplication window has not ended.
type KeyedRun struct {
	Key      string  `json:"key"`
	Zone     int     `json:"zone"`
	Cell     int     `json:"cell"`
	SentAt   Instant `json:"sent_at"`
	ForgetAt Instant `json:"forget_at"` // end of the deduplication window

	neverExecuted bool // its outcome has ruled out that it executed
}

// keyedRuns holds the keyed runs. Windows differ between classes, so that some are forgotten later than their window's end.
type keyedRuns struct {
	byKey    map[string]*KeyedRun
	inOrder  []*KeyedRun // of their addition
	announce bool        // another process acts as this dispatcher
}

// find returns the run of a key, nil if there is none whose window lasts at the time now.
func (k *keyedRuns) find(key string, now Instant) *KeyedRun {
	if run := k.byKey[key]; run != nil && now < run.ForgetAt {
		return run
	}
	return nil
}

// add remembers a run, unless one of its key is remembered, and reports whether it was added.
func (k *keyedRuns) add(run *KeyedRun, now Instant) bool {
	k.forgetOld(now)
	if k.find(run.Key, now) != nil || run.ForgetAt <= now {
		return false
	}
	if k.byKey == nil {
		k.byKey = map[string]*KeyedRun{}
	}
	k.byKey[run.Key] = run
	k.inOrder = append(k.inOrder, run)
	return true
}

// forgetOld forgets the oldest runs while their windows have ended or there are too many.
func (k *keyedRuns) forgetOld(now Instant) {
	for len(k.inOrder) > 0 && (k.inOrder[0].ForgetAt <= now || len(k.inOrder) >= maxKeyedRuns) {
		k.remove(k.inOrder[0])
		k.inOrder[0] = nil
		k.inOrder = k.inOrder[1:]
	}
}

// remove forgets a run, unless its key belongs to another one by now.
func (k *keyedRuns) remove(run *KeyedRun) {
	if k.byKey[run.Key] == run {
		delete(k.byKey, run.Key)
	}
}

// hasIdempotencyKey reports whether workers recognize repeats of the request by its key.
func (r *request) hasIdempotencyKey() bool {
	return r.idempotencyKey != "" && r.settings.Classes[r.class].Idempotency == IdempotentWithKey
}

// earlierRunOfKey returns the run of the request's key, by another request, that may have executed; nil if there is none.
func (r *request) earlierRunOfKey() *KeyedRun {
	if r.earlierRun != nil && r.earlierRun.neverExecuted {
		return nil
	}
	return r.earlierRun
}

// recordKeyedRun remembers an attempt of a request with an idempotency key.
func (s *Scheduler) recordKeyedRun(request *request, sent *attempt) {
	if !request.hasIdempotencyKey() {
		return
	}
	run := &KeyedRun{
		Key: request.idempotencyKey, Zone: sent.worker.Zone, Cell: sent.worker.Cell, SentAt: sent.sentAt,
		ForgetAt: sent.sentAt + request.settings.Classes[request.class].DeduplicationWindow,
	}
	if !s.keyedRuns.add(run, s.now) {
		return
	}
	sent.keyedRun = run
	if s.keyedRuns.announce {
		s.emit(AnnounceKeyedRun{Run: *run})
	}
}

// correctKeyedRun forgets the run of an attempt that never executed. If a later attempt of the request may have, that one is the first.
func (s *Scheduler) correctKeyedRun(request *request, ended *attempt) {
	if ended.keyedRun == nil || ended.mayHaveExecuted {
		return
	}
	s.keyedRuns.remove(ended.keyedRun)
	ended.keyedRun.neverExecuted = true
	ended.keyedRun = nil
	if next := slices.IndexFunc(request.attempts, mayHaveExecuted); next >= 0 {
		s.recordKeyedRun(request, &request.attempts[next])
	}
}

// permittedAfterRun reports whether an earlier run of the request's key, by another request, permits an attempt at worker: only workers of its
// deduplication scope drop the repeat, and only within the window.
func (s *Scheduler) permittedAfterRun(request *request, worker *worker) bool {
	run := request.earlierRunOfKey()
	class := &request.settings.Classes[request.class]
	switch {
	case run == nil:
		return true
	case s.now >= s.runSendDeadline(run),
		class.DeduplicationScope == ScopeZone && run.Zone != worker.Zone,
		class.DeduplicationScope == ScopeCell && run.Cell != worker.Cell:
		return false
	}
	return true
}

// runSendDeadline returns the time by which the last byte of a repeat must have been sent: one review interval before the end of the window.
func (s *Scheduler) runSendDeadline(run *KeyedRun) Instant {
	return run.ForgetAt - s.queueReviewInterval()
}

// KeyedRuns returns the keyed runs whose windows have not ended, in the order in which they were recorded.
func (s *Scheduler) KeyedRuns() (runs []KeyedRun) {
	for _, run := range s.keyedRuns.inOrder {
		if s.keyedRuns.find(run.Key, s.now) == run {
			runs = append(runs, *run)
		}
	}
	return runs
}

// onKeyedRunsReceived remembers runs of another process that acts as this dispatcher. A run that was sent before the known one replaces it.
func (s *Scheduler) onKeyedRunsReceived(event KeyedRunsReceived) {
	for i := range event.Runs {
		received := event.Runs[i]
		if known := s.keyedRuns.find(received.Key, s.now); known != nil && received.SentAt < known.SentAt {
			s.keyedRuns.remove(known)
		}
		s.keyedRuns.add(&received, s.now)
	}
}
