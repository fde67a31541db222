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

// fleetStatus is the part of a dispatcher's fleet.Status that a run uses.
type fleetStatus struct {
	Record         configversions.Record    `json:"record"`
	IsLeader       bool                     `json:"leads"`
	Counts         fleetCallCounts          `json:"counts"`
	ControlTraffic map[string]traffic.Count `json:"control"` // by kind
}

// fleetCallCounts are the numbers of a dispatcher's calls to and from other dispatchers since its start.
type fleetCallCounts struct {
	Calls  float64 `json:"Calls"`
	Served float64 `json:"Served"`
}

// rejectedCallError is the error of a call with a response status other than 200.
type rejectedCallError struct {
	status int
	reason string
}

// Error implements error.
func (e *rejectedCallError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.reason) }

// requestStatus requests a process's fleet status.
func (r *run) requestStatus(ctx context.Context, process *dispatcherProcess) (fleetStatus, error) {
	var status fleetStatus
	err := r.callFleet(ctx, process, "status", nil, &status)
	return status, err
}

// callFleet calls a process's fleet listener, by POST if body is not nil, otherwise by GET, and decodes the response into answer. It blocks
// up to fleetCallTimeout. If the call is rejected, it returns a *rejectedCallError.
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
	defer func() { _ = response.Body.Close() }() // the body has been read; an error here has no effect
	if response.StatusCode != http.StatusOK {
		var rejection struct{ Why string }
		_ = json.NewDecoder(response.Body).Decode(&rejection) // the reason stays empty if the body has none
		return &rejectedCallError{response.StatusCode, rejection.Why}
	}
	return json.NewDecoder(response.Body).Decode(answer)
}

// leader returns the index of the raft group's leader, or 0 if no process reports that it leads in maxLeaderPolls polls of all processes.
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
