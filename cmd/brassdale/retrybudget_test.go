package main

import (
	"fmt"
	"testing"
)

// TestRetryBudget_limitsAttempts checks that with a retry budget of 0.1 the retries of 60 requests, which all workers decline, stay within
// that ratio plus the floor of 10. Each request is still answered, and a reload changes the ratio.
func TestRetryBudget_limitsAttempts(t *testing.T) {
	t.Parallel()
	const requests, floor = 60, 10
	run := func(operator string) (attempts, denied int, dispatcher *testDispatcher) {
		// A declined job never ran, so it may always be retried.
		workers := startWorkers(t, 6, respondRaw("HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"))
		dispatcher = startDispatcherWith(t, operator, withoutLateWeight, workers...)
		for i := range requests {
			if status, _, _ := dispatcher.sendKey(fmt.Sprint("k-", i)); status != 503 {
				t.Errorf("request %d: status %d, want 503", i, status)
			}
		}
		return totalJobs(workers...), dispatcher.metric("retries_denied"), dispatcher
	}
	unlimited, noMetric, _ := run("")
	attempts, denied, dispatcher := run("fleet {\n  retry_budget = 0.1\n}\n")
	if noMetric != -1 || attempts > requests+requests/10+floor || attempts >= unlimited || denied == 0 {
		t.Errorf("%d attempts for %d requests, %d denied; %d without a budget; want fewer than without a budget, within the ratio and the floor, and some denied", attempts, requests, denied, unlimited)
	}
	t.Logf("%d requests: %d attempts without a budget, %d with one, %d denied", requests, unlimited, attempts, denied)
	dispatcher.writeFile(dispatcher.operatorPath, "fleet {\n  retry_budget = 10\n}\n")
	dispatcher.reload(dispatcher.config)
	dispatcher.waitForMetric("reload_success", 1)
	before := dispatcher.metric("dispatches")
	dispatcher.sendKey("after")
	if attempts := dispatcher.metric("dispatches") - before; attempts < 2 {
		t.Errorf("%d attempts of a request with a retry budget of 10, want 2 at least", attempts)
	}
}
