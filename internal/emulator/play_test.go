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

// TestOnSockets: real dispatchers keep the rules through faults, and serve nearly all jobs, as in virtual time.
func TestOnSockets(t *testing.T) {
	s := ReferenceScenario(3)
	s.Span = 4 * time.Second
	s.Traffic.Rate = 60
	s.Faults = []Fault{{At: time.Second, For: time.Second, Kind: Reset, Share: 0.3}, {At: 1500 * time.Millisecond, For: time.Second, Kind: Partition, Share: 0.1},
		{At: 2 * time.Second, For: time.Second, Kind: Restart, Share: 0.1}, {At: 2500 * time.Millisecond, For: time.Second, Kind: Drain, Share: 0.2},
		{At: 500 * time.Millisecond, For: 1500 * time.Millisecond, Kind: ListDown, Share: 1}, {At: 2500 * time.Millisecond, For: 500 * time.Millisecond, Kind: ListHung, Share: 1}}
	binary := buildProgram(t)
	r, err := playUntilUsable(t, func() (*Result, error) { return Play(t.Context(), s, binary) })
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range r.Breaches {
		t.Error(b)
	}
	virtual := mustRun(t, s, schedulerPolicy)
	if r.Jobs < 150 || r.Service < virtual.Service-0.1 || r.Sends > virtual.Sends+0.3 {
		t.Errorf("on sockets %+v, by the model %+v", r, virtual)
	}

	// A program that cannot start, and a context that ends: the result until then comes with the error.
	if _, err := Play(t.Context(), s, filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("a program that is not there played")
	}
	s.Span, s.Faults = time.Hour, nil
	r, err = playUntilUsable(t, func() (*Result, error) {
		ctx, stop := context.WithDeadline(t.Context(), time.Now().Add(2*time.Second))
		defer stop()
		return Play(ctx, s, binary)
	})
	if !errors.Is(err, context.Canceled) || r == nil || r.Jobs == 0 {
		t.Errorf("stopped: %v, %+v", err, r)
	}
}

// playUntilUsable plays until the load generator has kept its plan, five times at most: where it fell behind, the machine was
// late, and the result says nothing of the program.
func playUntilUsable(t *testing.T, play func() (*Result, error)) (r *Result, err error) {
	t.Helper()
	for range 5 {
		if r, err = play(); !errors.Is(err, load.ErrUnusable) {
			return r, err
		}
		t.Logf("played again: %v", err)
	}
	return r, err
}

// TestAuditOnSockets: the auditor finds a job sent to a worker long after the notification of its drain, and a repeat in another
// cell.
func TestAuditOnSockets(t *testing.T) {
	s := ReferenceScenario(1)
	s.Discovery, s.Dispatchers = time.Millisecond, 1
	s.Rules.DrainGrace = 0
	s.Faults = []Fault{{At: 0, For: time.Hour, Kind: Drain, Share: 1}}
	cluster, err := Open(s)
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
	post := func(to wireMember, id string) {
		t.Helper()
		req, _ := http.NewRequest(http.MethodPost, "http://"+to.HostPort+"/"+className, strings.NewReader("{}"))
		req.Header.Set("Req-Id", id)
		req.Header.Set("Idempotency-Key", "k-"+id)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
	}
	first := file.Known.Members[0]
	other := first
	for _, m := range file.Known.Members {
		if m.Cell != first.Cell {
			other = m
		}
	}
	post(first, "one")
	post(other, "one")
	cluster.StartFaults()
	revision := file.Known.Revision
	for told := 0; told < len(file.Known.Members); { // until the watch has notified of all drains
		resp, err := http.Get(fmt.Sprintf("http://%s/registry/instances?index=%d&wait=5000", file.Discovery, revision))
		if err != nil {
			t.Fatal(err)
		}
		var answer wireList
		if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		revision, told = answer.Revision, told+len(answer.Members)
	}
	time.Sleep(2 * socketSlack) // past the grace period
	post(first, "two")
	rules := map[string]int{}
	for _, b := range cluster.Status().Breaches {
		rules[b.Rule]++
	}
	if rules[RuleRepeat] != 1 || rules[RuleDrain] != 1 {
		t.Errorf("found %v", rules)
	}
}
