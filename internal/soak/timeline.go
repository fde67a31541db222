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

// Timeline returns everything that was recorded of a breach's request or worker, in the order of time.
func (r *Result) Timeline(breach Breach) string {
	record := r.Record
	record.mu.Lock()
	defer record.mu.Unlock()
	var entries []timelineEntry
	note := func(at time.Time, format string, args ...any) {
		if !at.IsZero() {
			entries = append(entries, timelineEntry{at, fmt.Sprintf(format, args...)})
		}
	}
	note(breach.At, "BROKEN %s: %s", breach.Rule, breach.Detail)
	for _, request := range record.Requests {
		if request.ID == breach.Request && breach.Request != "" {
			note(request.WrittenAt, "client: wrote to n%d, process %d, deadline %v, connection reused %t", request.Dispatcher, request.ProcessRun, request.Deadline, request.ConnectionReused)
			note(request.LeftAt, "client: left")
			note(request.AnsweredAt, "client: status %d %q %s", request.Status, request.Result, request.Error)
		}
	}
	for _, attempt := range record.Attempts {
		if attempt.ID == breach.Request && breach.Request != "" {
			note(attempt.FirstByteAt, "w%d: first byte from n%d, timeout %v", attempt.Worker, attempt.Dispatcher, attempt.Timeout)
			note(attempt.EndedAt, "w%d: ended, result %q", attempt.Worker, attempt.Result)
		}
	}
	for _, change := range record.EndpointChanges {
		if breach.Worker >= 0 && change.Worker == breach.Worker {
			note(change.At, "discovery: revision %d, w%d %s, restarted %t", change.Revision, change.Worker, change.Phase, change.JustStarted)
		}
	}
	if breach.Rule == RuleDrain {
		for _, answer := range record.DiscoveryAnswers {
			note(answer.At, "discovery: wrote revision %d to n%d", answer.Revision, answer.Dispatcher)
		}
	}
	for _, run := range record.ProcessRuns {
		note(run.StartedAt, "n%d: process %d started", run.Dispatcher, run.Number)
		note(run.SIGTERMAt, "n%d: SIGTERM", run.Dispatcher)
		note(run.EndedAt, "n%d: ended, killed %t", run.Dispatcher, run.Killed)
	}
	slices.SortFunc(entries, func(a, b timelineEntry) int { return a.at.Compare(b.at) })
	var text strings.Builder
	for _, entry := range entries {
		fmt.Fprintf(&text, "  %9.3f %s\n", entry.at.Sub(record.StartedAt).Seconds(), entry.text)
	}
	for _, line := range r.logLines(breach.Request) {
		fmt.Fprintf(&text, "  log %s\n", line)
	}
	return text.String()
}

// logLines returns the lines of the dispatchers' logs that name a request.
func (r *Result) logLines(id string) (lines []string) {
	if id == "" {
		return nil
	}
	files, _ := filepath.Glob(filepath.Join(r.LogDir, "n*.log"))
	for _, path := range files {
		file, err := os.Open(path)
		if err != nil {
			continue
		}
		for scanner := bufio.NewScanner(file); scanner.Scan(); {
			if strings.Contains(scanner.Text(), "id="+id+" ") {
				lines = append(lines, strings.TrimSpace(scanner.Text()))
			}
		}
		_ = file.Close() // it was only read
	}
	return lines
}
