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

// program builds the dispatcher's program for a test.
func program(t testing.TB) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "brassdale")
	if out, err := exec.Command("go", "build", "-o", path, "brassdale/cmd/brassdale").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// Real dispatchers on sockets keep the rules through faults at the socket, and serve nearly all, as the model says.
func TestOnSockets(t *testing.T) {
	s := LlanelliWorks(3)
	s.Span = 4 * time.Second
	s.Traffic.Rate = 60
	s.Faults = []Fault{{At: time.Second, For: time.Second, Kind: Reset, Share: 0.3}, {At: 1500 * time.Millisecond, For: time.Second, Kind: Partition, Share: 0.1},
		{At: 2 * time.Second, For: time.Second, Kind: Restart, Share: 0.1}, {At: 2500 * time.Millisecond, For: time.Second, Kind: Drain, Share: 0.2},
		{At: 500 * time.Millisecond, For: 1500 * time.Millisecond, Kind: ListDown, Share: 1}, {At: 2500 * time.Millisecond, For: 500 * time.Millisecond, Kind: ListHung, Share: 1}}
	binary := program(t)
	r, err := counted(t, func() (*Result, error) { return Play(t.Context(), s, binary) })
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range r.Breaches {
		t.Error(b)
	}
	v := mustRun(t, s, module)
	if r.Jobs < 150 || r.Service < v.Service-0.1 || r.Sends > v.Sends+0.3 {
		t.Errorf("on sockets %+v, by the model %+v", r, v)
	}

	// One that cannot start, and Ctrl-C in the middle: what was measured is given with the error.
	if _, err := Play(t.Context(), s, filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("a program that is not there played")
	}
	s.Span, s.Faults = time.Hour, nil
	r, err = counted(t, func() (*Result, error) {
		ctx, stop := context.WithDeadline(t.Context(), time.Now().Add(2*time.Second))
		defer stop()
		return Play(ctx, s, binary)
	})
	if !errors.Is(err, context.Canceled) || r == nil || r.Jobs == 0 {
		t.Errorf("stopped: %v, %+v", err, r)
	}
}

// counted plays until the generator has kept to its plan, five times at the most: where it fell behind it was the machine that
// was late, and the play tells nothing of the program.
func counted(t *testing.T, play func() (*Result, error)) (r *Result, err error) {
	t.Helper()
	for range 5 {
		if r, err = play(); !errors.Is(err, load.ErrUnusable) {
			return r, err
		}
		t.Logf("played again: %v", err)
	}
	return r, err
}

// The auditor sees on sockets what a client of the boxes does wrong: a job to a box long after its drain was told, and a
// repeat in another bay.
func TestAuditOnSockets(t *testing.T) {
	s := LlanelliWorks(1)
	s.Discovery, s.Dispatchers = time.Millisecond, 1
	s.Rules.DrainGrace = 0
	s.Faults = []Fault{{At: 0, For: time.Hour, Kind: Drain, Share: 1}}
	k, err := Open(s)
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	text, err := k.Config(0)
	if err != nil {
		t.Fatal(err)
	}
	var file struct {
		Discovery string
		Known     list
	}
	if err := json.Unmarshal(text, &file); err != nil {
		t.Fatal(err)
	}
	post := func(to member, id string) {
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
	k.StartFaults()
	revision := file.Known.Revision
	for told := 0; told < len(file.Known.Members); { // the watch tells that all drain
		resp, err := http.Get(fmt.Sprintf("http://%s/registry/instances?index=%d&wait=5000", file.Discovery, revision))
		if err != nil {
			t.Fatal(err)
		}
		var l list
		if err := json.NewDecoder(resp.Body).Decode(&l); err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		revision, told = l.Revision, told+len(l.Members)
	}
	time.Sleep(2 * socketSlack) // the grace itself
	post(first, "two")
	rules := map[string]int{}
	for _, b := range k.Now().Breaches {
		rules[b.Rule]++
	}
	if rules[RuleRepeat] != 1 || rules[RuleDrain] != 1 {
		t.Errorf("found %v", rules)
	}
}
