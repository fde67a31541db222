package soak

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// timelineEntry is a line of a timeline.
type timelineEntry struct {
	at   time.Time
	text string
}

// Timeline words all that is known of a breach's request or worker, in order.
func (r *Result) Timeline(b Breach) string {
	rec := r.Record
	rec.mu.Lock()
	defer rec.mu.Unlock()
	var moments []timelineEntry
	note := func(at time.Time, format string, args ...any) {
		if !at.IsZero() {
			moments = append(moments, timelineEntry{at, fmt.Sprintf(format, args...)})
		}
	}
	note(b.At, "BROKEN %s: %s", b.Rule, b.Detail)
	for _, q := range rec.Requests {
		if q.ID == b.Request && b.Request != "" {
			note(q.WrittenAt, "client: written to n%d, life %d, waits %v, reused connection %t", q.Dispatcher, q.ProcessRun, q.Deadline, q.ConnectionReused)
			note(q.LeftAt, "client: left")
			note(q.AnsweredAt, "client: status %d %q %s", q.Status, q.Result, q.Error)
		}
	}
	for _, t := range rec.Attempts {
		if t.ID == b.Request && b.Request != "" {
			note(t.FirstByteAt, "w%d: first byte from n%d, told %v", t.Worker, t.Dispatcher, t.Timeout)
			note(t.EndedAt, "w%d: ended, result %q", t.Worker, t.Result)
		}
	}
	for _, c := range rec.EndpointChanges {
		if b.Worker >= 0 && c.Worker == b.Worker {
			note(c.At, "discovery: revision %d, w%d %s, cold %t", c.Revision, c.Worker, c.Phase, c.Restarted)
		}
	}
	if b.Rule == RuleDrain {
		for _, w := range rec.DiscoveryAnswers {
			note(w.At, "discovery: wrote revision %d to n%d", w.Revision, w.Dispatcher)
		}
	}
	for _, l := range rec.ProcessRuns {
		note(l.StartedAt, "n%d: life %d started", l.Dispatcher, l.Number)
		note(l.SIGTERMAt, "n%d: SIGTERM", l.Dispatcher)
		note(l.EndedAt, "n%d: ended, killed %t", l.Dispatcher, l.Killed)
	}
	slices.SortFunc(moments, func(a, b timelineEntry) int { return a.at.Compare(b.at) })
	var text strings.Builder
	for _, m := range moments {
		fmt.Fprintf(&text, "  %9.3f %s\n", m.at.Sub(rec.StartedAt).Seconds(), m.text)
	}
	for _, line := range r.logLines(b.Request) {
		fmt.Fprintf(&text, "  log %s\n", line)
	}
	return text.String()
}

// logLines gives the lines of the dispatchers' logs that name a request.
func (r *Result) logLines(id string) (lines []string) {
	if id == "" {
		return nil
	}
	files, _ := filepath.Glob(filepath.Join(r.LogDir, "n*.log"))
	for _, path := range files {
		f, err := os.Open(path)
		if err != nil {
			continue
		}
		for in := bufio.NewScanner(f); in.Scan(); {
			if strings.Contains(in.Text(), "id="+id+" ") {
				lines = append(lines, strings.TrimSpace(in.Text()))
			}
		}
		f.Close()
	}
	return lines
}
