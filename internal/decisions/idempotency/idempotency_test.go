package idempotency

import (
	"testing"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

// modelJob is a job in the model.
type modelJob struct {
	body               int
	ended              bool
	rejected           bool
	readers            int
	runsWithoutReaders bool
}

// neverRan reports whether a job has ended without running, because it was rejected.
func (j *modelJob) neverRan() bool { return j.ended && j.rejected }

// model is a table of jobs by key that follows the decisions, and checks the guarantees.
type model struct {
	t        *rapid.T
	jobs     map[string]*modelJob
	capacity int
	running  map[string]int
}

// request decides a request.
func (m *model) request(key string, body int, resumed bool) {
	current := m.jobs[key]
	var remembered *RememberedJob
	if current != nil {
		remembered = &RememberedJob{Rejected: current.neverRan(), SameJob: current.body == body}
	}
	switch Decide(remembered, resumed, len(m.jobs) < m.capacity) {
	case Start:
		if resumed || current != nil && !current.neverRan() || len(m.jobs) >= m.capacity {
			m.t.Fatalf("a job starts with %+v remembered, resumed %v, and %d of %d jobs in the table", current, resumed, len(m.jobs), m.capacity)
		}
		if m.running[key]++; m.running[key] > 1 {
			m.t.Fatal("two jobs with the same key run")
		}
		m.jobs[key] = &modelJob{body: body, readers: 1}
	case Join:
		if current == nil || current.body != body {
			m.t.Fatalf("a request joins job %+v, which has another body or does not exist", current)
		}
		current.readers++
	case KeyMismatch:
		if current == nil || current.body == body {
			m.t.Fatalf("got KeyMismatch, but the remembered job %+v has the same body or does not exist", current)
		}
	case UnknownKey:
		if !resumed || current != nil {
			m.t.Fatalf("got UnknownKey for a request that does not resume an answer, or although job %+v is remembered", current)
		}
	case TableFull:
		if len(m.jobs) < m.capacity {
			m.t.Fatal("the table is reported as full below its capacity")
		}
	}
}

// end ends the job of a key, if it runs.
func (m *model) end(key string) {
	if current := m.jobs[key]; current != nil && !current.ended {
		current.ended, current.rejected = true, rapid.Bool().Draw(m.t, "rejected")
		m.running[key]--
	}
}

// forget removes the job of a key, if it has ended.
func (m *model) forget(key string) {
	if current := m.jobs[key]; current != nil && current.ended {
		delete(m.jobs, key)
	}
}

// leave removes a reader of the job of a key, if there is one.
func (m *model) leave(key string) {
	current := m.jobs[key]
	if current == nil || current.readers == 0 {
		return
	}
	current.readers--
	if !current.ended && AbandonWithoutReaders(current.readers, current.runsWithoutReaders) {
		if current.readers > 0 || current.runsWithoutReaders {
			m.t.Fatal("a job with a reader, or one that runs without readers, is abandoned")
		}
		delete(m.jobs, key)
		m.running[key]--
	}
}

// TestDecide_guarantees checks guarantees 1 to 5 for a table of jobs that follows the decisions on any sequence of requests.
func TestDecide_guarantees(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		table := &model{t: t, jobs: map[string]*modelJob{}, capacity: rapid.IntRange(1, 4).Draw(t, "capacity"), running: map[string]int{}}
		for range 200 {
			key := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "key")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1:
				table.request(key, rapid.IntRange(0, 1).Draw(t, "body"), rapid.IntRange(0, 5).Draw(t, "resumed") == 0)
			case 2:
				table.end(key)
			case 3:
				table.forget(key)
			case 4:
				table.leave(key)
			}
		}
	})
}
