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

// Timeline returns all that was recorded about the request or worker of a breach, in the order of time.
func (r *Result) Timeline(breach Breach) string {
	record := r.Record
	record.mu.Lock()
	defer record.mu.Unlock()
	var entries []timelineEntry
	addEntry := func(at time.Time, format string, args ...any) {
		if !at.IsZero() {
			entries = append(entries, timelineEntry{at, fmt.Sprintf(format, args...)})
		}
	}
	addEntry(breach.At, "BROKEN %s: %s", breach.Rule, breach.Detail)
	for _, request := range record.Requests {
		if request.ID == breach.Request && breach.Request != "" {
			addEntry(request.WrittenAt, "client: wrote to n%d, process %d, HTTP/2 %t, deadline %v, connection reused %t", request.Dispatcher, request.ProcessRun, request.HTTP2, request.Deadline, request.ConnectionReused)
			addEntry(request.LeftAt, "client: left")
			addEntry(request.AnsweredAt, "client: status %d %q %s", request.Status, request.Result, request.Error)
		}
	}
	for _, attempt := range record.Attempts {
		if attempt.ID == breach.Request && breach.Request != "" {
			addEntry(attempt.FirstByteAt, "w%d: first byte from n%d, timeout %v", attempt.Worker, attempt.Dispatcher, attempt.Timeout)
			addEntry(attempt.EndedAt, "w%d: ended, result %q", attempt.Worker, attempt.Result)
		}
	}
	for _, change := range record.EndpointChanges {
		if breach.Worker >= 0 && change.Worker == breach.Worker {
			addEntry(change.At, "discovery: revision %d, w%d %s, restarted %t", change.Revision, change.Worker, change.Phase, change.JustStarted)
		}
	}
	if breach.Rule == RuleDrain {
		for _, answer := range record.DiscoveryAnswers {
			addEntry(answer.At, "discovery: wrote revision %d to n%d", answer.Revision, answer.Dispatcher)
		}
	}
	for _, run := range record.ProcessRuns {
		addEntry(run.StartedAt, "n%d: process %d started", run.Dispatcher, run.Number)
		addEntry(run.SIGTERMAt, "n%d: SIGTERM", run.Dispatcher)
		addEntry(run.EndedAt, "n%d: ended, killed %t", run.Dispatcher, run.Killed)
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

// logLines returns the lines of the dispatchers' logs that contain a request's ID.
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
