package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestStart_invalidFiles checks that with an invalid file the process exits with code 1 and logs one line that names the field.
func TestStart_invalidFiles(t *testing.T) {
	t.Parallel()
	good := `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":` + settingsJSON + `}`
	for _, test := range []struct{ config, operator, want string }{
		{`{"listen":`, "", "config.json"},
		{strings.Replace(good, `"127.0.0.1:0"`, `"here"`, 1), "", "listen"},
		{strings.Replace(good, `"discovery":"127.0.0.1:1"`, `"discovery":7`, 1), "", "discovery"},
		{strings.Replace(good, `"price-part"`, `""`, 1), "", "settings.classes[0].name"},
		{strings.Replace(good, `"settings"`, `"known":{"members":[{"id":"a","phase":"odd"}]},"settings"`, 1), "", "known: members[0].phase"},
		{good, "front \"progress\" {\n  listen = \"10.0.0.1:80\"\n}", "operator.hcl:2:12: Bad listen"},
	} {
		dispatcher := newTestDispatcher(t, nil)
		dispatcher.startProcess(test.config, test.operator)
		<-dispatcher.exited
		if text := dispatcher.log(); dispatcher.command.ProcessState.ExitCode() != 1 || strings.Count(text, "\n") != 1 || !strings.Contains(text, test.want) {
			t.Errorf("%s %s: exit code %d, want 1 and one log line that names the field, got %q", test.config[:20], test.operator, dispatcher.command.ProcessState.ExitCode(), text)
		}
	}
}

// TestReload_movesDiscovery checks that SIGHUP moves discovery: the complete list of the new service is read at once, regardless of its
// revision, while the watch at the old service is still open, and an open request is served. An invalid file changes nothing, repeated
// signals have no further effect, and SIGTERM ends the process afterwards.
func TestReload_movesDiscovery(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	workerA := startWorker(t, "a", completeWhenReleased(release))
	workerB := startWorker(t, "b", completeJob)
	workerB.cell = "2"
	dispatcher := startDispatcher(t, "", workerA)
	dispatcher.waitFor("a call to discovery", func() bool { return dispatcher.discovery.callCount() > 0 })
	answered := dispatcher.sendInBackground(workerA, "open")

	dispatcher.reload(strings.Replace(dispatcher.config, `"discovery":"`, `"discovery":"nowhere `, 1))
	dispatcher.waitFor("a rejected reload", func() bool {
		return strings.Count(dispatcher.log(), "reload failed") == 1 && strings.Contains(dispatcher.log(), "discovery: ")
	})

	workerA.phase = "leaving"
	next := newTestDiscovery(workerA, workerB)
	server := httptest.NewServer(next)
	t.Cleanup(server.CloseClientConnections)
	moved := strings.Replace(dispatcher.config, `"discovery":"`, `"discovery":"`+server.Listener.Addr().String()+`","was":"`, 1)
	for range 3 {
		dispatcher.reload(moved)
	}
	dispatcher.waitForLog("complete=true endpoints=2")
	if status, _, _ := dispatcher.sendKey("next"); status != 200 {
		t.Errorf("a request after the move: status %d, want 200", status)
	}
	if jobs := workerB.jobCount(); jobs != 1 {
		t.Errorf("%d requests at the worker that only the new discovery lists, want 1", jobs)
	}
	next.update(func() { workerA.phase = "active" })
	dispatcher.waitForLog("revision=2")
	close(release)
	if status := <-answered; status != 200 {
		t.Errorf("the open request: status %d, want 200", status)
	}
	dispatcher.terminate()
	dispatcher.reload(moved)
	dispatcher.waitForExit(time.Now().Add(8 * time.Second))
}

// breakFirstAttempts returns a handler for several workers. Jobs whose key begins with "waits" wait for the release. The connection of the
// first attempt of a key that contains "breaks" is closed; all other attempts are completed.
func breakFirstAttempts(release <-chan struct{}) jobHandler {
	var mu sync.Mutex
	attempts := map[string]int{} // by key
	countAttempt := func(key string) int {
		mu.Lock()
		defer mu.Unlock()
		attempts[key]++
		return attempts[key]
	}
	return func(worker *testWorker, conn net.Conn, r *http.Request) {
		key := r.Header.Get("Idempotency-Key")
		if strings.HasPrefix(key, "waits") {
			<-release
		}
		if attempt := countAttempt(key); strings.Contains(key, "breaks") && attempt == 1 {
			conn.Close()
			return
		}
		completeJob(worker, conn, r)
	}
}

// TestReload_changedClasses checks a reload that removes a class, adds a non-idempotent one, and allows fewer attempts: an open request
// keeps the settings from its start, including the number of retries, and later requests get the new settings.
func TestReload_changedClasses(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	workers := startNamedWorkers(t, breakFirstAttempts(release), "a", "b")
	dispatcher := startDispatcher(t, "", workers...)
	waiting := make(chan int, 1)
	go func() {
		status, _, _ := dispatcher.sendKey("waits-breaks")
		waiting <- status
	}()
	dispatcher.waitFor("the job at a worker", func() bool { return totalJobs(workers...) == 1 })

	changed := strings.Replace(dispatcher.config, `"classes":[{`, `"classes":[{"aim":200000,"credit":1,"lateWorth":0.1,"deadline":4000000,"effect":"unsafe","name":"rush"},{`, 1)
	changed = strings.Replace(changed, `"name":"price-part"`, `"name":"price-whole"`, 1)
	changed = strings.Replace(changed, `"maxAttempts":4`, `"maxAttempts":1`, 1)
	dispatcher.reload(changed)
	dispatcher.waitForMetric("reload_success", 1)
	send := func(class, key string) int {
		t.Helper()
		r := newRequest(dispatcher.http1URL, key, "Req-Kind", class)
		r.URL.Path = "/" + class
		if class == "rush" {
			r.Header.Del("Idempotency-Key")
		}
		status, _, _ := dispatcher.send(r)
		return status
	}
	if status := send("price-part", "removed"); status != 404 {
		t.Errorf("a removed class: status %d, want 404", status)
	}
	if status := send("rush", "new"); status != 200 {
		t.Errorf("a new class without keys: status %d, want 200", status)
	}
	if status := send("price-whole", "breaks"); status != 502 && status != 504 {
		t.Errorf("a request whose only attempt broke: status %d, want 502 or 504", status)
	}
	close(release)
	if status := <-waiting; status != 200 {
		t.Errorf("the open request, which has four attempts: status %d, want 200", status)
	}
	dispatcher.checkMetrics("after the reload", map[string]int{"replies.price-part.success": 1, "replies.price-part.error": 1,
		"replies.rush.success": 1, "replies.price-whole.error": 1})
	dispatcher.reload(dispatcher.config)
	dispatcher.waitForMetric("reload_success", 2)
	if status := send("price-part", "again"); status != 200 {
		t.Errorf("a class that was added again: status %d, want 200", status)
	}
}

// TestReload_invalidFiles checks that no part of an invalid file is applied, and that requests are served by the previous settings.
func TestReload_invalidFiles(t *testing.T) {
	t.Parallel()
	dispatcher := startDispatcher(t, "", startWorker(t, "a", completeJob))
	good := strings.Replace(dispatcher.config, `"name":"price-part"`, `"name":"other"`, 1)
	replaced := func(old, new string) string {
		if !strings.Contains(good, old) {
			t.Fatalf("the platform's file does not contain %s", old)
		}
		return strings.Replace(good, old, new, 1)
	}
	for i, text := range []string{
		"", " ", good[:len(good)/2], good[:len(good)-1], good + "}", "[]", "null", "{}",
		replaced(`"deadline":5000000`, `"deadline":0`), replaced(`"deadline":5000000`, `"deadline":-5`), replaced(`"deadline":5000000`, `"deadline":"soon"`),
		replaced(`"deadline":5000000`, `"deadline":null`), replaced(`"deadline":5000000,`, ``), replaced(`"effect":"keyed",`, ``), replaced(`,"window":7500000`, ``),
		replaced(`"maxAttempts":4`, `"maxAttempts":0`), replaced(`"maxAttempts":4`, `"maxAttempts":-1`), replaced(`"maxAttempts":4`, `"maxAttempts":"four"`),
		replaced(`"maxAttempts":4,`, ``), replaced(`"maxAttempts":4`, `"maxAttempts":1.5`), replaced(`"maxAttempts":4`, `"maxAttempts":null`),
		replaced(`"listen":`, `"listens":`), replaced(`"discovery":"127`, `"discoveries":"127`), replaced(`"limits":{"cores"`, `"limit":{"cores"`),
		replaced(`"settings":`, `"setting":`), replaced(`"classes":`, `"class":`), replaced(`"rules":`, `"rule":`),
	} {
		dispatcher.reload(text)
		dispatcher.waitForMetric("reload_failure", i+1)
		if status, _, _ := dispatcher.sendKey(fmt.Sprint(i)); status != 200 || dispatcher.metric("reload_success") != 0 {
			t.Fatalf("after file %d, %.60q: status %d, want 200 and reload_success=0", i, text, status)
		}
	}
	dispatcher.reload(good)
	dispatcher.waitForMetric("reload_success", 1)
}
