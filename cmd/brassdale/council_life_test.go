package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"brassdale/internal/faults"
)

// again starts a dispatcher of the fleet anew behind its end, with the disk that it has.
func (f *allied) again(i int) {
	f.t.Helper()
	old := f.nodes[i]
	n := &node{t: f.t, registry: old.registry, tmp: old.tmp, exited: make(chan struct{})}
	n.launch(old.config, f.operator(i))
	n.serves("")
	f.nodes[i] = n
}

func (f *allied) kill(which ...int) {
	for _, i := range which {
		f.nodes[i].cmd.Process.Kill()
		<-f.nodes[i].exited
		f.away[i] = append(f.away[i], faults.Absence{From: time.Now()})
	}
}

// fleetSays runs a sub-command of 'fleet' at a dispatcher.
func (f *allied) fleetSays(i int, args ...string) string {
	_, out, errs := run(f.t, append([]string{"fleet", "--address", f.at[i]}, args...)...)
	return out + errs
}

// A second process under a name in use gets no lease until the first's has ended, and then goes on; the first, were it only
// frozen, has none when it wakes.
func TestNameInUse(t *testing.T) {
	t.Parallel()
	f := ally(t, 3, 3, 1)
	f.propose("retries = 0.5\n", 0)
	f.acts(1, f.all()...)
	f.at, f.files = append(f.at, strings.Replace(f.at[3], ".4:", ".5:", 1)), append(f.files, t.TempDir())
	f.nodes[3].cmd.Process.Signal(syscall.SIGSTOP)
	twin := startWith(t, f.operator(4), func(c string) string { return strings.Replace(c, `"name":"n0"`, `"name":"n3"`, 1) }, f.workers...)
	f.nodes = append(f.nodes, twin)
	f.acts(1, 4) // the first's lease has run out
	f.nodes[3].cmd.Process.Signal(syscall.SIGCONT)
	f.nodes[3].waitFor("the frozen one without a lease", func() bool {
		all := f.stands(3)
		return len(all) > 0 && all[len(all)-1].Lapsed
	})
	for range 5 { // and it does not get one while the other has it
		f.nodes[3].waitFor("another question in vain", func() bool { return strings.Contains(f.fleetSays(3, "status"), "true") })
	}
	twin.stop()
	f.acts(1, 3) // who left said so
}

// A successor takes over the dispatcher's seat, on the same file, once the old process has ended: there is no second vote,
// and the fleet goes on.
func TestReplacingHandsTheSeatOver(t *testing.T) {
	t.Parallel()
	f := ally(t, 4, 3, 0)
	f.propose("retries = 0.5\n", 0)
	f.acts(1, f.all()...)
	lead := f.leader()
	old := f.nodes[lead]
	next := old.successor(f.operator(lead))
	old.passesOn(1)
	old.stop()
	f.nodes[lead] = next
	f.acts(1, f.all()...)
	f.propose("retries = 0.25\n", lead)
	f.acts(2, f.all()...)
	if out := f.fleetSays(lead, "council"); strings.Count(out, "true") != 3 || !strings.Contains(out, f.at[lead]) {
		t.Errorf("council:\n%s", out)
	}
	if out := f.fleetSays(lead, "diff"); !strings.Contains(out, "retries 0.5 -> 0.25") {
		t.Errorf("diff:\n%s", out)
	}
}

// Two of three voters are lost for good. What the third has on file makes a new council, which the others join; an old voter
// that is back after all has no say, and nobody who has heard of the new council goes back to the old one.
func TestRecovery(t *testing.T) {
	t.Parallel()
	f := ally(t, 5, 3, 1)
	f.propose("retries = 0.5\n", 0)
	f.acts(1, f.all()...)
	f.kill(0, 1, 2)
	recover := func() (int, string) {
		code, out, errs := run(t, "fleet", "recover", f.files[2], "--seat", "3", "--name", "n2", "--listen", f.at[2], "--old", f.at[0]+","+f.at[1]+","+f.at[2])
		return code, out + errs
	}
	f.again(1)
	if code, out := recover(); code == 0 || !strings.Contains(out, "still answers") {
		t.Errorf("recovered beside an old voter: %s", out)
	}
	f.kill(1)
	if code, out := recover(); code != 0 || !strings.Contains(out, "era 1") {
		t.Fatalf("recover: %s", out)
	}
	f.again(2)
	f.acts(1, 2, 3)
	f.propose("retries = 0.25\n", 3)
	f.acts(2, 2, 3)
	f.again(0) // with the old council's file: alone it leads nobody, and it finds the new one
	f.acts(2, 0, 2, 3)
	f.nodes[0].waitFor("the old voter's part in the old council to end", func() bool { return strings.Contains(f.fleetSays(0, "status"), "era            1") })
}

// A proposal of 4 MB reaches all: 2,000 workers are out. SIGHUP at one dispatcher proposes the file that its council's block
// names, and says so where it names none; the same file again proposes nothing; a bad one is refused with its place.
func TestLargeProposalAndSIGHUP(t *testing.T) {
	t.Parallel()
	f := ally(t, 6, 3, 2)
	var large strings.Builder
	large.WriteString("out = [\n")
	for i := range 2000 {
		fmt.Fprintf(&large, "  %q,\n", fmt.Sprintf("s-%05d%s", i, strings.Repeat("x", 2000)))
	}
	large.WriteString("]\n")
	f.propose(large.String(), 4)
	f.acts(1, f.all()...)
	if status, _, _ := f.nodes[3].do(request(f.nodes[3].url, "beside-4-MB")); status != 200 {
		t.Errorf("a job beside 2,000 workers that are out: %d", status)
	}

	f.nodes[0].reload(f.nodes[0].config)
	f.nodes[0].waitFor("word that nothing is proposed", func() bool { return strings.Contains(f.nodes[0].log(), "no rules file to propose") })
	rules := filepath.Join(t.TempDir(), "rules.hcl")
	put := func(text string) {
		if err := os.WriteFile(rules, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	put("retries = 0.25\n")
	f.kill(3)
	n := &node{t: t, registry: f.nodes[3].registry, tmp: f.nodes[3].tmp, exited: make(chan struct{})}
	n.launch(f.nodes[3].config, strings.Replace(f.operator(3), " bound =", fmt.Sprintf(" rules = %q\n bound =", rules), 1))
	n.serves("")
	f.nodes[3] = n
	f.acts(1, f.all()...)
	n.reload(n.config)
	f.acts(2, f.all()...)
	n.reload(n.config)
	n.waitFor("word that it is in force", func() bool { return strings.Contains(n.log(), "rules file already in force") })
	put("retries = \"many\"\n")
	n.reload(n.config)
	n.waitFor("the refusal", func() bool { return strings.Contains(n.log(), "rules.hcl:1") })
}

// A share that the fleet's rules cap is capped at each dispatcher, and a worker taken out of the fleet by one command gets
// nothing at any.
func TestFleetWideShareAndBox(t *testing.T) {
	t.Parallel()
	f := ally(t, 7, 1, 1)
	f.propose("shares = { deeside-aero = 0.1 }\n", 1)
	f.acts(1, 0, 1)
	if out := f.fleetSays(1, "detach", "a", "--why", "rebuilt"); !strings.Contains(out, "version 2") {
		t.Fatal(out)
	}
	f.acts(2, 0, 1)
	_, before := f.workers[0].count()
	for i, n := range f.nodes {
		for k := range 4 {
			n.do(request(n.url, fmt.Sprint("d-", i, "-", k)))
		}
	}
	if _, after := f.workers[0].count(); after != before {
		t.Errorf("%d jobs at a worker that is out", after-before)
	}
	if out := f.fleetSays(0, "history"); !strings.Contains(out, "deeside-aero:0.1") || !strings.Contains(out, "rebuilt") {
		t.Error(out)
	}
	if out := f.fleetSays(1, "attach", "a", "--why", "back"); !strings.Contains(out, "version 3") {
		t.Fatal(out)
	}
	f.acts(3, 0, 1)
}
