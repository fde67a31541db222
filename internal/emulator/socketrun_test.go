package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"brassdale/internal/load"
)

// buildProgram builds the dispatcher and returns the path of its binary.
func buildProgram(t testing.TB) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "brassdale")
	if out, err := exec.Command("go", "build", "-o", path, "brassdale/cmd/brassdale").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// TestRunOnSockets_asInVirtualTime checks that real dispatchers break no rule under faults, and that they serve at most 0.1 less than the scheduler
// in virtual time, with at most 0.3 more attempts per job.
func TestRunOnSockets_asInVirtualTime(t *testing.T) {
	scenario := ReferenceScenario(3)
	scenario.Span = 4 * time.Second
	scenario.Traffic.Rate = 60
	scenario.Faults = []Fault{{At: time.Second, For: time.Second, Kind: Reset, Share: 0.3}, {At: 1500 * time.Millisecond, For: time.Second, Kind: Partition, Share: 0.1},
		{At: 2 * time.Second, For: time.Second, Kind: Restart, Share: 0.1}, {At: 2500 * time.Millisecond, For: time.Second, Kind: Drain, Share: 0.2},
		{At: 500 * time.Millisecond, For: 1500 * time.Millisecond, Kind: DiscoveryDown, Share: 1}, {At: 2500 * time.Millisecond, For: 500 * time.Millisecond, Kind: DiscoveryHung, Share: 1}}
	binary := buildProgram(t)
	result, err := runUntilUsable(t, func() (*Result, error) { return RunOnSockets(t.Context(), scenario, binary) })
	if err != nil {
		t.Fatal(err)
	}
	for _, breach := range result.Breaches {
		t.Error(breach)
	}
	virtual := mustRun(t, scenario, schedulerPolicy)
	if result.Jobs < 150 || result.Service < virtual.Service-0.1 || result.Sends > virtual.Sends+0.3 {
		t.Errorf("on sockets %+v, in virtual time %+v", result, virtual)
	}

	// If the program cannot start, RunOnSockets fails. If the context ends, it returns the result until then with the error.
	if _, err := RunOnSockets(t.Context(), scenario, filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("RunOnSockets succeeded without a program")
	}
	scenario.Span, scenario.Faults = time.Hour, nil
	result, err = runUntilUsable(t, func() (*Result, error) {
		ctx, stop := context.WithDeadline(t.Context(), time.Now().Add(2*time.Second))
		defer stop()
		return RunOnSockets(ctx, scenario, binary)
	})
	if !errors.Is(err, context.Canceled) || result == nil || result.Jobs == 0 {
		t.Errorf("cancelled after 2 s: error %v, %+v", err, result)
	}
}

// runUntilUsable repeats a run until the load generator has sent its jobs on time, five times at most. If the generator is late, the
// machine is overloaded, and the result says nothing about the program.
func runUntilUsable(t *testing.T, run func() (*Result, error)) (result *Result, err error) {
	t.Helper()
	for range 5 {
		if result, err = run(); !errors.Is(err, load.ErrUnusable) {
			return result, err
		}
		t.Logf("running again: %v", err)
	}
	return result, err
}

// postJob sends a job with an idempotency key to a worker, as a dispatcher does.
func postJob(t *testing.T, to wireMember, id string) {
	t.Helper()
	request, _ := http.NewRequest(http.MethodPost, "http://"+to.HostPort+"/"+className, strings.NewReader("{}"))
	request.Header.Set("Req-Id", id)
	request.Header.Set("Idempotency-Key", "k-"+id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
}

// awaitChanges watches the list from a revision until discovery has reported a number of changed members.
func awaitChanges(t *testing.T, discovery string, revision, members int) {
	t.Helper()
	for notified := 0; notified < members; {
		response, err := http.Get(fmt.Sprintf("http://%s/registry/instances?index=%d&wait=5000", discovery, revision))
		if err != nil {
			t.Fatal(err)
		}
		var answer wireList
		if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		revision, notified = answer.Revision, notified+len(answer.Members)
	}
}

// TestAuditor_onSockets checks that the auditor finds a job that is sent to a worker after the grace period of its drain, and a repeat in
// another cell.
func TestAuditor_onSockets(t *testing.T) {
	scenario := ReferenceScenario(1)
	scenario.Discovery, scenario.Dispatchers = time.Millisecond, 1
	scenario.Rules.DrainGrace = 0
	scenario.Faults = []Fault{{At: 0, For: time.Hour, Kind: Drain, Share: 1}}
	cluster, err := Open(scenario)
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
	text, err := cluster.Config(0)
	if err != nil {
		t.Fatal(err)
	}
	var file struct {
		Discovery string
		Known     wireList
	}
	if err := json.Unmarshal(text, &file); err != nil {
		t.Fatal(err)
	}
	first := file.Known.Members[0]
	other := first
	for _, member := range file.Known.Members {
		if member.Cell != first.Cell {
			other = member
		}
	}
	postJob(t, first, "one")
	postJob(t, other, "one")
	cluster.StartFaults()
	awaitChanges(t, file.Discovery, file.Known.Revision, len(file.Known.Members)) // all drain
	time.Sleep(2 * socketSlack)                                                   // past the grace period
	postJob(t, first, "two")
	breaches := map[string]int{}
	for _, breach := range cluster.Status().Breaches {
		breaches[breach.Rule]++
	}
	if breaches[RuleRepeat] != 1 || breaches[RuleDrain] != 1 {
		t.Errorf("found %v, want one %s and one %s", breaches, RuleRepeat, RuleDrain)
	}
}
