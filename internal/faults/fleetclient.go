package faults

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/labsupport"
	"brassdale/internal/traffic"
)

const (
	fleetCallTimeout   = 2 * time.Second
	leaderPollInterval = 20 * time.Millisecond
	maxLeaderPolls     = 100
)

// fleetStatus is the part of a dispatcher's fleet.Status that a run reads.
type fleetStatus struct {
	Record         configversions.Record    `json:"record"`
	IsLeader       bool                     `json:"leads"`
	Counts         fleetCallCounts          `json:"counts"`
	ControlTraffic map[string]traffic.Count `json:"control"` // by kind
}

// fleetCallCounts are a dispatcher's calls to and from others, since its start.
type fleetCallCounts struct {
	Calls  float64 `json:"Calls"`
	Served float64 `json:"Served"`
}

// rejectedCallError is the error of a call that was answered with another status than 200.
type rejectedCallError struct {
	status int
	reason string
}

// Error implements error.
func (e *rejectedCallError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.reason) }

// requestStatus requests the status of a process in the fleet.
func (r *run) requestStatus(ctx context.Context, process *dispatcherProcess) (fleetStatus, error) {
	var status fleetStatus
	err := r.callFleet(ctx, process, "status", nil, &status)
	return status, err
}

// callFleet calls a process's fleet listener and decodes the answer: by POST if there is a body, else by GET. It blocks up to
// fleetCallTimeout. A call that is rejected returns a *rejectedCallError.
func (r *run) callFleet(ctx context.Context, process *dispatcherProcess, name string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, fleetCallTimeout)
	defer cancel()
	method := http.MethodPost
	if body == nil {
		method = http.MethodGet
	}
	request, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/council/%s", process.address, name), bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }() // what was read counts
	if response.StatusCode != http.StatusOK {
		var rejection struct{ Why string }
		_ = json.NewDecoder(response.Body).Decode(&rejection) // without a reason the status says enough
		return &rejectedCallError{response.StatusCode, rejection.Why}
	}
	return json.NewDecoder(response.Body).Decode(answer)
}

// leader returns the index of the process that leads the raft group, or 0 if none says so in maxLeaderPolls polls of all processes.
func (r *run) leader(ctx context.Context) int {
	for range maxLeaderPolls {
		for _, process := range r.processes {
			if status, err := r.requestStatus(ctx, process); err == nil && status.IsLeader {
				return process.index
			}
		}
		if !labsupport.WaitUntil(ctx, time.Now().Add(leaderPollInterval)) {
			break
		}
	}
	return 0
}
