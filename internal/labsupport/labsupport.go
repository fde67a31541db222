// Package labsupport has functions for the test rigs that start real dispatcher processes (packages faults and scale): they wait for a
// time, send a job, and read from /proc what processes and the loopback interface have used.
package labsupport

import (
	"context"
	"time"
)

// WaitUntil waits until a time. It returns false if the context ends first.
func WaitUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}
