package fleet

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"brassdale/internal/decisions/configversions"
)

// maxWatchWait is the longest time that one call waits for a change of the record.
const maxWatchWait = 10 * time.Second

// followRecord follows the record at a voter by long polling, so that a change arrives as soon as that voter has it. A dispatcher
// that is a voter gets the record from its own log. A dispatcher without a record gets one with its next lease.
func (a *Agent) followRecord(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		isVoter := a.voter.id() != 0
		record := a.lessee.Record()
		complete := a.recordComplete
		a.mu.Unlock()
		if isVoter || !complete {
			sleep(ctx, a.renewInterval())
			continue
		}
		got, err := a.awaitChange(ctx, record)
		if err != nil {
			sleep(ctx, a.renewInterval())
			continue
		}
		next, err := got.applyTo(record)
		if err != nil {
			a.requestWholeRecord()
			sleep(ctx, a.renewInterval())
			continue
		}
		a.applyRecord(next)
	}
}

// awaitChange asks a voter for the changes after a record; the voter waits up to maxWatchWait for one.
func (a *Agent) awaitChange(ctx context.Context, record configversions.Record) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, maxWatchWait+callTimeout)
	defer cancel()
	name := fmt.Sprintf("watch?era=%d&revision=%d&wait=%d", record.Epoch, record.Revision, maxWatchWait.Milliseconds())
	got, status, err := a.call(ctx, a.nextVoter().Address, name, nil)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("watch: status %d: %s", status, got.Reason)
	}
	return got, err
}

// requestWholeRecord makes the next lease request ask for the whole record.
func (a *Agent) requestWholeRecord() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordComplete = false
}

// applyRecord applies and stores a record that was received without a lease.
func (a *Agent) applyRecord(record configversions.Record) {
	a.mu.Lock()
	isNew := a.lessee.ApplyRecord(record)
	a.applyStateLocked()
	a.mu.Unlock()
	if !isNew {
		return
	}
	a.saveRecord(record)
	wake(a.stateChanged)
	wake(a.renewNow) // acknowledges the record
}
