// Package labsupport is what the test rigs that start real dispatcher processes (packages faults and scale) have in common: waiting for a
// time, sending a job, and reading from /proc what processes and the loopback interface have used.
package labsupport

import (
	"context"
	"time"
)

// WaitUntil waits for a time. It returns false if the context ends before.
func WaitUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}
