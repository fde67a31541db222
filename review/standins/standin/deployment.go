package standin

import (
	"fmt"
	"time"
)

// Deployment is a small deployment: workers in two bays, discovery, and the addresses of one dispatcher.
type Deployment struct {
	Bays     *Bays
	Registry *Registry
	Listen   string // of clients over HTTP/1.1
	HTTP2    string // of clients over HTTP/2
	Progress string // of clients that watch the progress
	Admin    string
}

// workersInBay is the number of workers in each of the two bays.
const workersInBay = 6

// NewDeployment starts the workers and discovery. window is how long a bay drops a repeat of a key.
func NewDeployment(record *Record, tellsStart bool, window time.Duration, runtime func(key string) time.Duration) (*Deployment, error) {
	deployment := &Deployment{Bays: NewBays(record, window)}
	var workers []*Worker
	for i := range 2 * workersInBay {
		worker, err := StartWorker(fmt.Sprintf("s-%08x", 0x5be2a07c+i*0x1f3d5b7), i%2+1, tellsStart, deployment.Bays, runtime)
		if err != nil {
			return nil, err
		}
		workers = append(workers, worker)
	}
	var err error
	if deployment.Registry, err = StartRegistry(workers); err != nil {
		return nil, err
	}
	addresses, err := FreeAddresses(4)
	if err != nil {
		return nil, err
	}
	deployment.Listen, deployment.HTTP2, deployment.Progress, deployment.Admin = addresses[0], addresses[1], addresses[2], addresses[3]
	return deployment, nil
}

// CheckKeys returns a breach for each key that ran again. A bay drops a repeat within the window, so a second run is either in another
// bay, or begins after the window.
func (d *Deployment) CheckKeys() (breaches []string) {
	for key, runs := range d.Bays.Runs() {
		for _, again := range runs[1:] {
			breaches = append(breaches, fmt.Sprintf("duplicate: key %s ran at %s in bay %d, and %.2f s later at %s in bay %d (window %.1f s)",
				key, runs[0].Worker, runs[0].Bay, again.Began.Sub(runs[0].Began).Seconds(), again.Worker, again.Bay, d.Bays.window.Seconds()))
		}
	}
	return breaches
}
