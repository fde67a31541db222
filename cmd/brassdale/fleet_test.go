package main

import (
	"fmt"
	"strings"
	"testing"
)

// A list with a fault is refused as a whole: the old one holds, at 60 lines and at 5,000, jobs go on, and the fault is
// logged once however often it comes. A good list then is in force at once.
func TestFaultyLists(t *testing.T) {
	t.Parallel()
	line := func(i int, rest string) string {
		return fmt.Sprintf(`{"id":"ghost-%d","host_port":"127.0.0.1:1","locality":"llanelli","flavor":"new-box","cell":1,"size":1.0,"up_since_ms":0,%s}`, i, rest)
	}
	list := func(n int, last string) string {
		var lines []string
		for i := range n - 1 {
			lines = append(lines, line(i, `"phase":"active"`))
		}
		return fmt.Sprintf(`{"revision":99,"complete":true,"members":[%s]}`, strings.Join(append(lines, last), ","))
	}
	for name, broken := range map[string]func(string) string{
		"a phase that is none": func(string) string { return list(60, line(59, `"phase":"resting"`)) },
		"no address":           func(string) string { return list(60, `{"id":"x","phase":"active"}`) },
		"a member twice":       func(string) string { return list(60, line(7, `"phase":"active"`)) },
		"twice in 5,000":       func(string) string { return list(5000, line(7, `"phase":"leaving"`)) },
		"no number":            func(string) string { return list(5000, `{"id":"x","host_port":"h:1","phase":"active","size":"big"}`) },
		"half a list":          func(good string) string { return good[:len(good)/2] },
		"nothing":              func(string) string { return "" },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := newBox(t, "a", works), newBox(t, "b", works)
			n := start(t, "", a)
			n.registry.set(func() { n.registry.boxes, n.registry.broken = []*box{b}, broken })
			asked := func() int {
				n.registry.mu.Lock()
				defer n.registry.mu.Unlock()
				return len(n.registry.asked)
			}
			for i, before := 0, asked(); asked() < before+3; i++ {
				if status, _, _ := n.do(request(n.url, fmt.Sprint("k-", i))); status != 200 {
					t.Fatalf("job %d: %d", i, status)
				}
			}
			n.waitFor("the fault", func() bool { return strings.Contains(n.log(), "discovery failed") })
			if times := strings.Count(n.log(), "discovery failed"); times != 1 {
				t.Errorf("logged %d times", times)
			}
			if _, jobs := b.count(); jobs > 0 {
				t.Error("a job went to a member of the faulty list")
			}
			n.registry.set(func() { n.registry.broken = nil })
			n.waitFor("the good list", func() bool { return strings.Contains(n.log(), "discovery answers again") })
			if status, _, _ := n.do(request(n.url, "after")); status != 200 {
				t.Errorf("after the good list: %d", status)
			}
			if _, jobs := b.count(); jobs != 1 {
				t.Errorf("%d jobs at the member of the good list", jobs)
			}
		})
	}
}
