// Package standin has the stand-ins of the review's cases: workers, discovery, the platform that starts dispatchers, and the record of
// what was sent, answered and run. They behave as the users' pages describe.
package standin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record of a run: one line an event, with the time since the start.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, started: time.Now()}, nil
}

// Log adds a line to the record.
func (r *Record) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Say adds a line to the record and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Log(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
