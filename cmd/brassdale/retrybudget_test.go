package main

import (
	"fmt"
	"testing"
)

// With a budget, endpoints that fail what they get are not sent every job several times: further calls stay within the
// share of the first ones and the floor. Every job has its answer all the same, and SIGHUP changes the share.
func TestRetryBudget_limitsAttempts(t *testing.T) {
	t.Parallel()
	const jobs, floor = 60, 10
	run := func(operator string) (calls, denied int, dispatcher *testDispatcher) {
		var workers []*testWorker
		for i := range 6 { // each turns all jobs away unseen: a repeat is always allowed
			workers = append(workers, startWorker(t, fmt.Sprint("worker-", i), respondRaw("HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")))
		}
		dispatcher = startDispatcherWith(t, operator, withoutLateWeight, workers...)
		for i := range jobs {
			if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, fmt.Sprint("k-", i))); status != 503 {
				t.Errorf("job %d: %d", i, status)
			}
		}
		return totalJobs(workers...), dispatcher.metric("retries_denied"), dispatcher
	}
	free, none, _ := run("")
	calls, denied, dispatcher := run("fleet {\n  retry_budget = 0.1\n}\n")
	if none != -1 || calls > jobs+jobs/10+floor || calls >= free || denied == 0 {
		t.Errorf("%d calls for %d jobs, %d denied; %d without a budget", calls, jobs, denied, free)
	}
	t.Logf("%d jobs: %d calls without a budget, %d with one, %d denied", jobs, free, calls, denied)
	dispatcher.writeFile(dispatcher.operatorPath, "fleet {\n  retry_budget = 10\n}\n")
	dispatcher.reload(dispatcher.config)
	dispatcher.waitFor("the file in force", func() bool { return dispatcher.metric("reload_success") == 1 })
	before := dispatcher.metric("dispatches")
	dispatcher.send(newRequest(dispatcher.http1URL, "after"))
	if got := dispatcher.metric("dispatches") - before; got < 2 {
		t.Errorf("%d calls of a job with room for ten", got)
	}
}
