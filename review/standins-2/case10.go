package main

import (
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

func init() { cases["10"] = case10 }

func case10(b *bench) []string {
	boxes := startBoxes(b, &runLog{}, 12, always(60*time.Millisecond))
	d := newDiscovery(b, 41, members(boxes))
	listen, admin := address(), address()
	saved := filepath.Join(b.dir, "saved")
	spec := dispatcherSpec{name: "n0", listen: listen, admin: admin, tmp: filepath.Join(b.dir, "tmp1"),
		operator: fmt.Sprintf("saved_list {\n  directory = %q\n}\n", saved), config: platformFile(listen, admin, d.address, d.whole())}
	mkdir(spec.tmp)
	first := b.start(spec)
	load := b.steadyLoad("before", listen, 12*time.Millisecond)
	time.Sleep(3 * time.Second)
	b.note("box %s begins to drain", boxes[0].id)
	d.update(boxes[0].member("leaving"))
	boxes[0].drains.Store(true)
	time.Sleep(9 * time.Second)
	b.note("answers before the restart by status: %v", load.end())
	first.signal(syscall.SIGTERM)
	<-first.exited
	b.note("the dispatcher has ended")
	show, _ := exec.Command("bin/brassdale", "saved", "show", "--json", saved).CombinedOutput()
	b.note("for information, the saved list names %d of the %d boxes", strings.Count(string(show), `"host_port"`), len(boxes))
	if b.trouble {
		d.set(func() { d.down = true })
		b.note("discovery cannot be reached")
	}
	spec.name, spec.tmp = "n0-again", filepath.Join(b.dir, "tmp2") // $TMPDIR is empty each time a start happens
	mkdir(spec.tmp)
	b.start(spec)
	load = b.steadyLoad("after", listen, 12*time.Millisecond)
	time.Sleep(10 * time.Second)
	answers := load.end()
	b.note("answers after the restart by status: %v", answers)
	if answers[http.StatusOK] == 0 {
		return []string{fmt.Sprintf("none of the jobs of 10 s after the restart was served (by status: %v), though 11 boxes of the list run", answers)}
	}
	return nil
}
