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

// A bad file stops the start with one line that names the field.
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
		dispatcher := &testDispatcher{t: t, exited: make(chan struct{})}
		dispatcher.startProcess(test.config, test.operator)
		<-dispatcher.exited
		if text := dispatcher.log(); dispatcher.command.ProcessState.ExitCode() != 1 || strings.Count(text, "\n") != 1 || !strings.Contains(text, test.want) {
			t.Errorf("%s %s: exit code %d, %q", test.config[:20], test.operator, dispatcher.command.ProcessState.ExitCode(), text)
		}
	}
}

// SIGHUP once ended the program. It moves discovery: the new one is asked for its whole list at once, though
// its revisions are its own, while the old one's watch is still open, and a job that is open goes on. A bad
// file changes nothing, repeats do no harm, and SIGTERM still ends all in good order.
func TestReload_movesDiscovery(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	workerA := startWorker(t, "a", func(worker *testWorker, conn net.Conn, r *http.Request) { <-release; completeJob(worker, conn, r) })
	workerB := startWorker(t, "b", completeJob)
	workerB.cell = "2"
	dispatcher := startDispatcher(t, "", workerA)
	dispatcher.waitFor("a watch", func() bool {
		dispatcher.discovery.mu.Lock()
		defer dispatcher.discovery.mu.Unlock()
		return len(dispatcher.discovery.polledRevisions) > 0
	})
	answered := dispatcher.sendInBackground(workerA, "open")

	dispatcher.reload(strings.Replace(dispatcher.config, `"discovery":"`, `"discovery":"nowhere `, 1))
	dispatcher.waitFor("a refusal", func() bool {
		return strings.Count(dispatcher.log(), "reload failed") == 1 && strings.Contains(dispatcher.log(), "discovery: ")
	})

	workerA.phase = "leaving"
	next := &testDiscovery{revision: 1, workers: []*testWorker{workerA, workerB}, changed: make(chan struct{})}
	server := httptest.NewServer(next)
	t.Cleanup(server.CloseClientConnections)
	moved := strings.Replace(dispatcher.config, `"discovery":"`, `"discovery":"`+server.Listener.Addr().String()+`","was":"`, 1)
	for range 3 {
		dispatcher.reload(moved)
	}
	dispatcher.waitFor("the new list", func() bool { return strings.Contains(dispatcher.log(), "complete=true endpoints=2") })
	if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, "next")); status != 200 {
		t.Errorf("a job after the move: %d", status)
	}
	if _, jobs := workerB.count(); jobs != 1 {
		t.Errorf("%d jobs came to the endpoint that only the new discovery knows", jobs)
	}
	next.update(func() { workerA.phase = "active" })
	dispatcher.waitFor("a change at the new discovery", func() bool { return strings.Contains(dispatcher.log(), "revision=2") })
	close(release)
	if status := <-answered; status != 200 {
		t.Errorf("the open job: %d", status)
	}
	dispatcher.terminate()
	dispatcher.reload(moved)
	dispatcher.waitForExit(time.Now().Add(8 * time.Second))
}

// Settings change while it serves: a class is dropped, one comes with another effect, attempts become fewer. Jobs that
// are open keep the rules that they began with, retries included; what comes after has the new ones.
func TestReload_changedClasses(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	var mu sync.Mutex
	runs := map[string]int{} // at both endpoints together
	attempts := func(key string) int {
		mu.Lock()
		defer mu.Unlock()
		runs[key]++
		return runs[key]
	}
	once := func(worker *testWorker, conn net.Conn, r *http.Request) {
		key := r.Header.Get("Idempotency-Key")
		if strings.HasPrefix(key, "held") {
			<-release
		}
		if n := attempts(key); strings.Contains(key, "breaks") && n == 1 {
			conn.Close()
			return
		}
		completeJob(worker, conn, r)
	}
	workerA, workerB := startWorker(t, "a", once), startWorker(t, "b", once)
	dispatcher := startDispatcher(t, "", workerA, workerB)
	held := make(chan int, 1)
	go func() {
		status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, "held-breaks"))
		held <- status
	}()
	dispatcher.waitFor("the job at an endpoint", func() bool { _, x := workerA.count(); _, y := workerB.count(); return x+y == 1 })

	retuned := strings.Replace(dispatcher.config, `"classes":[{`, `"classes":[{"aim":200000,"credit":1,"lateWorth":0.1,"deadline":4000000,"effect":"unsafe","name":"rush"},{`, 1)
	retuned = strings.Replace(retuned, `"name":"price-part"`, `"name":"price-whole"`, 1)
	retuned = strings.Replace(retuned, `"maxAttempts":4`, `"maxAttempts":1`, 1)
	dispatcher.reload(retuned)
	dispatcher.waitFor("the file in force", func() bool { return dispatcher.metric("reload_success") == 1 })
	ask := func(class, key string) int {
		t.Helper()
		r := newRequest(dispatcher.http1URL, key, "Req-Kind", class)
		r.URL.Path = "/" + class
		if class == "rush" {
			r.Header.Del("Idempotency-Key")
		}
		status, _, _ := dispatcher.send(r)
		return status
	}
	if status := ask("price-part", "dropped"); status != 404 {
		t.Errorf("a class that was dropped: %d", status)
	}
	if status := ask("rush", "new"); status != 200 {
		t.Errorf("a new class without keys: %d", status)
	}
	if status := ask("price-whole", "breaks"); status != 502 && status != 504 {
		t.Errorf("a job with one attempt, which broke: %d", status)
	}
	close(release)
	if status := <-held; status != 200 {
		t.Errorf("the open job, which had four attempts: %d", status)
	}
	for name, want := range map[string]int{"replies.price-part.success": 1, "replies.price-part.error": 1,
		"replies.rush.success": 1, "replies.price-whole.error": 1} {
		if got := dispatcher.metric(name); got != want {
			t.Errorf("%s=%d, want %d", name, got, want)
		}
	}
	dispatcher.reload(dispatcher.config)
	dispatcher.waitFor("the old file", func() bool { return dispatcher.metric("reload_success") == 2 })
	if status := ask("price-part", "again"); status != 200 {
		t.Errorf("a class that came back: %d", status)
	}
}

// Of a file that is broken in any way nothing is taken.
func TestReload_invalidFiles(t *testing.T) {
	t.Parallel()
	dispatcher := startDispatcher(t, "", startWorker(t, "a", completeJob))
	good := strings.Replace(dispatcher.config, `"name":"price-part"`, `"name":"other"`, 1)
	swap := func(old, new string) string {
		if !strings.Contains(good, old) {
			t.Fatalf("no %s in the file", old)
		}
		return strings.Replace(good, old, new, 1)
	}
	for i, text := range []string{
		"", " ", good[:len(good)/2], good[:len(good)-1], good + "}", "[]", "null", "{}",
		swap(`"deadline":5000000`, `"deadline":0`), swap(`"deadline":5000000`, `"deadline":-5`), swap(`"deadline":5000000`, `"deadline":"soon"`),
		swap(`"deadline":5000000`, `"deadline":null`), swap(`"deadline":5000000,`, ``), swap(`"effect":"keyed",`, ``), swap(`,"window":7500000`, ``),
		swap(`"maxAttempts":4`, `"maxAttempts":0`), swap(`"maxAttempts":4`, `"maxAttempts":-1`), swap(`"maxAttempts":4`, `"maxAttempts":"four"`),
		swap(`"maxAttempts":4,`, ``), swap(`"maxAttempts":4`, `"maxAttempts":1.5`), swap(`"maxAttempts":4`, `"maxAttempts":null`),
		swap(`"listen":`, `"listens":`), swap(`"discovery":"127`, `"discoveries":"127`), swap(`"limits":{"cores"`, `"limit":{"cores"`),
		swap(`"settings":`, `"setting":`), swap(`"classes":`, `"class":`), swap(`"rules":`, `"rule":`),
	} {
		dispatcher.reload(text)
		dispatcher.waitFor("a refusal", func() bool { return dispatcher.metric("reload_failure") == i+1 })
		if status, _, _ := dispatcher.send(newRequest(dispatcher.http1URL, fmt.Sprint(i))); status != 200 || dispatcher.metric("reload_success") != 0 {
			t.Fatalf("after file %d, %.60q: %d", i, text, status)
		}
	}
	dispatcher.reload(good)
	dispatcher.waitFor("the good file", func() bool { return dispatcher.metric("reload_success") == 1 })
}
