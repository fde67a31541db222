package fleet

import (
	"context"
	"fmt"
	"net/http"
	"reflect"
	"time"

	"brassdale/internal/decisions/configversions"
)

const (
	proposeFileTimeout       = 30 * time.Second // how long a proposal is retried while there is no leader
	proposeFileRetryInterval = 500 * time.Millisecond
)

// ProposeFile proposes the rules of this dispatcher's file, unless they are in force or announced, and logs the outcome. It
// blocks until the outcome is known, or for proposeFileTimeout at most.
func (a *Agent) ProposeFile(ctx context.Context, rules configversions.Rules) {
	ctx, cancel := context.WithTimeout(ctx, proposeFileTimeout)
	defer cancel()
	for !a.proposeFileOnce(ctx, rules) {
		sleep(ctx, proposeFileRetryInterval)
	}
}

// proposeFileOnce makes one proposal. It reports whether the outcome is known, and logs a known outcome.
func (a *Agent) proposeFileOnce(ctx context.Context, rules configversions.Rules) (done bool) {
	known := a.Status().Record
	if known.InForce.Number > 0 && reflect.DeepEqual(known.InForce.Rules, rules) {
		a.log.Info("rules file already in force", "version", known.InForce.Number)
		return true
	}
	if announced := known.Announced; announced != nil && reflect.DeepEqual(announced.Rules, rules) {
		a.log.Info("rules file already announced", "version", announced.Number)
		return true
	}
	version := configversions.Version{
		Number: known.InForce.Number,
		Rules:  rules,
		By:     a.options.Name,
		Reason: "SIGHUP at " + a.options.Name,
		At:     time.Now().UTC(),
	}
	got, status := a.propose(ctx, version, false)
	var announced *configversions.Version
	if got.Record != nil {
		announced = got.Record.Announced
	}
	switch {
	case status == http.StatusOK && announced != nil:
		a.log.Info("rules file proposed", "version", announced.Number)
	case status == http.StatusConflict && announced != nil && !reflect.DeepEqual(announced.Rules, rules):
		a.log.Error("rules file not proposed", "err", fmt.Sprintf("version %d by %s is under way", announced.Number, announced.By))
	case status == http.StatusBadRequest, ctx.Err() != nil:
		a.log.Error("rules file not proposed", "err", got.Reason)
	default:
		return false
	}
	return true
}
