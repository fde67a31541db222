package fleet

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"brassdale/internal/decisions/configversions"
)

// serveMessages receives the raft messages of another voter. A voter of an older epoch gets the status 410 and the new epoch, so
// that it leaves its obsolete raft group.
func (a *Agent) serveMessages(w http.ResponseWriter, r *http.Request) {
	var messages [][]byte
	batch, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		messages, err = splitBatch(batch)
	}
	epoch, epochErr := strconv.ParseUint(r.URL.Query().Get("era"), 10, 64)
	a.mu.Lock()
	own := a.voter
	known := a.lessee.Record().Epoch
	a.counts.Served++
	a.mu.Unlock()
	switch {
	case err != nil || epochErr != nil:
		a.reply(w, http.StatusBadRequest, response{Reason: "no messages to a seat"}) // the batch or the epoch cannot be decoded
	case epoch < known:
		a.reply(w, http.StatusGone, response{Reason: configversions.ErrOldEpoch.Error(), Epoch: known})
	case own == nil:
		a.reply(w, http.StatusMisdirectedRequest, response{Reason: reasonNotVoter})
	case epoch > own.log.Record().Epoch && own.log.Record().Revision > 0: // revision 0: a voter that has just joined, with an empty log of epoch 0
		a.leaveOldRaftGroup(epoch)
		a.reply(w, http.StatusMisdirectedRequest, response{Reason: "of a newer council"}) // the sender's raft group is of a newer epoch
	default:
		for _, message := range messages {
			own.log.Step(message)
		}
		w.WriteHeader(http.StatusNoContent)
	}
}

// watchQuery is the query of a watch call.
type watchQuery struct {
	epoch    uint64
	revision uint64
	wait     time.Duration
}

func parseWatchQuery(values url.Values) (query watchQuery, ok bool) {
	var err error
	if query.epoch, err = strconv.ParseUint(values.Get("era"), 10, 64); err != nil {
		return query, false
	}
	if query.revision, err = strconv.ParseUint(values.Get("revision"), 10, 64); err != nil {
		return query, false
	}
	waitMS, err := strconv.ParseUint(values.Get("wait"), 10, 32)
	query.wait = min(time.Duration(waitMS)*time.Millisecond, maxWatchWait)
	return query, err == nil
}

// serveWatch waits until this voter's record is newer than the caller's or the wait is over, and responds with the changes.
func (a *Agent) serveWatch(w http.ResponseWriter, r *http.Request) {
	query, ok := parseWatchQuery(r.URL.Query())
	if !ok {
		a.reply(w, http.StatusBadRequest, response{Reason: "no revision"}) // a number of the query is missing or invalid
		return
	}
	timeout := time.NewTimer(query.wait)
	defer timeout.Stop()
	for waiting := true; ; {
		a.mu.Lock()
		own := a.voter
		changed := a.recordChanged
		a.mu.Unlock()
		if own == nil {
			a.reply(w, http.StatusMisdirectedRequest, response{Reason: reasonNotVoter})
			return
		}
		update := own.updateSince(query.epoch, query.revision)
		if !update.IsEmpty() || !waiting {
			a.replyWithRecord(w, newUpdateResponse(update))
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// replyWithRecord responds to a watch call. It writes whole records to at most maxRecordTransfers callers at a time, so that a
// change that all dispatchers need at once does not delay the raft log.
func (a *Agent) replyWithRecord(w http.ResponseWriter, got response) {
	if got.Record != nil {
		a.recordTransfers <- struct{}{}
		defer func() { <-a.recordTransfers }()
	}
	a.reply(w, http.StatusOK, got)
}
