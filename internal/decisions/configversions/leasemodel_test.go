package configversions

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

// fleetModel is a small model of a fleet: dispatchers that renew leases, pause and act; a raft group whose leader may change;
// messages that arrive late, in any order, or never.
type fleetModel struct {
	now           Instant
	record        Record
	leaseDuration time.Duration
	leaseTable    *LeaseTable
	lessees       []*Lessee
	paused        []bool
	requests      []renewal // on their way to the leader
	responses     []renewal // on their way back
	fault         fault
}

// renewal is a message in transit.
type renewal struct {
	from         int // index of the dispatcher
	requestedAt  Instant
	acknowledged uint64
	record       Record // of the response
}

// fault is a bug that the model injects.
type fault string

const (
	noFault                 fault = ""
	leaderDoesNotWait       fault = "leader does not wait"
	leaseCountsFromResponse fault = "lease counts from response"
	newLeaderDoesNotWait    fault = "new leader does not wait"
)

// action is one thing that may happen in the model.
type action int

const (
	advanceTime action = iota
	sendRenewal
	answerRenewal
	deliverResponse
	loseResponse
	announceVersion
	putVersionInForce
	changeLeader
	togglePause
	actionCount
)

// hasTarget reports whether an action applies to one of the dispatchers or messages.
func (a action) hasTarget() bool {
	return a != advanceTime && a != announceVersion && a != putVersionInForce && a != changeLeader
}

const timeStep = time.Second

// newFleetModel returns a model whose dispatchers have no leases.
func newFleetModel(dispatchers int, fault fault) *fleetModel {
	m := &fleetModel{leaseDuration: 2 * timeStep, fault: fault, paused: make([]bool, dispatchers)}
	m.leaseTable = NewLeaseTable(m.leaseDuration, -100*timeStep)
	for range dispatchers {
		m.lessees = append(m.lessees, NewLessee(fmt.Sprint("d", len(m.lessees)), Record{}))
	}
	return m
}

// step performs an action on a target, and reports whether it is possible.
func (m *fleetModel) step(what action, target int) bool {
	switch what {
	case advanceTime:
		m.now += timeStep
		return true
	case sendRenewal:
		return m.send(target)
	case answerRenewal:
		return m.answer(target)
	case deliverResponse:
		return m.deliver(target)
	case loseResponse:
		if target >= len(m.responses) {
			return false
		}
		m.responses = without(m.responses, target)
		return true
	case announceVersion:
		next, err := m.record.Apply(Entry{Announce: &Version{Number: m.record.InForce.Number}})
		if err != nil {
			return false
		}
		m.record = next
		return true
	case putVersionInForce:
		return m.putInForce()
	case changeLeader: // the new leader has the record, and no leases
		electedAt := m.now
		if m.fault == newLeaderDoesNotWait {
			electedAt = -100 * timeStep
		}
		m.leaseTable = NewLeaseTable(m.leaseDuration, electedAt)
		return true
	case togglePause:
		if target >= len(m.lessees) {
			return false
		}
		m.paused = slices.Clone(m.paused)
		m.paused[target] = !m.paused[target]
		return true
	}
	return true
}

// send sends a renewal from a dispatcher.
func (m *fleetModel) send(dispatcher int) bool {
	if dispatcher >= len(m.lessees) || m.paused[dispatcher] || len(m.requests) > 1 {
		return false
	}
	m.requests = append(m.requests, renewal{from: dispatcher, requestedAt: m.now, acknowledged: m.lessees[dispatcher].Acknowledged()})
	return true
}

// answer makes the leader answer a renewal.
func (m *fleetModel) answer(request int) bool {
	if request >= len(m.requests) || len(m.responses) > 1 {
		return false
	}
	message := m.requests[request]
	m.requests = without(m.requests, request)
	_ = m.leaseTable.Renew(Dispatcher{Name: fmt.Sprint("d", message.from), AcknowledgedVersion: message.acknowledged}, m.now)
	message.record = m.record
	m.responses = append(slices.Clone(m.responses), message)
	return true
}

// deliver delivers a response to its dispatcher.
func (m *fleetModel) deliver(response int) bool {
	if response >= len(m.responses) || m.paused[m.responses[response].from] {
		return false
	}
	message := m.responses[response]
	m.responses = without(m.responses, response)
	if m.fault == leaseCountsFromResponse {
		message.requestedAt = m.now
	}
	m.lessees[message.from].ApplyLease(message.record, message.requestedAt, m.leaseDuration)
	return true
}

// putInForce puts the announced version in force, if the leader permits it.
func (m *fleetModel) putInForce() bool {
	announced := m.record.Announced
	if announced == nil {
		return false
	}
	if may, _ := m.leaseTable.MayPutInForce(announced.Number, m.now); !may && m.fault != leaderDoesNotWait {
		return false
	}
	m.record, _ = m.record.Apply(Entry{PutInForce: announced.Number})
	return true
}

// without returns a copy of the messages without the one at index.
func without(messages []renewal, index int) []renewal {
	return append(append([]renewal(nil), messages[:index]...), messages[index+1:]...)
}

// contradiction describes two running dispatchers that contradict each other; empty if there are none.
func (m *fleetModel) contradiction() string {
	for i, a := range m.lessees {
		for j, b := range m.lessees[:i] {
			if x, y := a.Effective(m.now), b.Effective(m.now); !m.paused[i] && !m.paused[j] && x.Contradicts(y) {
				return fmt.Sprintf("at %v dispatcher %d acts on %v, %d on %v", m.now, j, y.Versions, i, x.Versions)
			}
		}
	}
	return ""
}

// clone returns a copy of the model that shares no mutable state.
func (m *fleetModel) clone() *fleetModel {
	c := *m
	c.leaseTable = &LeaseTable{m.leaseTable.assumedLeaseDuration, m.leaseTable.electedAt, map[string]leaseRecord{}, map[string]AbsentDispatcher{}}
	for k, v := range m.leaseTable.leases {
		c.leaseTable.leases[k] = v
	}
	c.lessees = nil
	for _, lessee := range m.lessees {
		copied := *lessee
		c.lessees = append(c.lessees, &copied)
	}
	return &c
}

// appendBytes appends each number as a byte. The numbers of a state fit into a byte, because they grow with the number of steps,
// which is small.
func appendBytes(to []byte, numbers ...int64) []byte {
	for _, n := range numbers {
		to = append(to, byte(n))
	}
	return to
}

// key identifies a state for search. It ignores the order of dispatchers and of messages, which has no effect on what may follow.
func (m *fleetModel) key(limits [actionCount]int) string {
	announced := int64(-1)
	if version := m.record.Announced; version != nil {
		announced = int64(version.Number)
	}
	key := appendBytes(make([]byte, 0, 96), int64(m.now/timeStep), int64(m.record.Revision), int64(m.record.InForce.Number), announced,
		int64(max(m.leaseTable.electedAt, -timeStep)/timeStep))
	for _, n := range limits {
		key = appendBytes(key, int64(n))
	}
	parts := make([]string, len(m.lessees))
	for i := range m.lessees {
		parts[i] = m.dispatcherKey(i)
	}
	slices.Sort(parts)
	for _, part := range parts {
		key = append(append(key, part...), 100)
	}
	return string(key)
}

// dispatcherKey identifies the state of one dispatcher and of its messages.
func (m *fleetModel) dispatcherKey(dispatcher int) string {
	lessee := m.lessees[dispatcher]
	lease := m.leaseTable.leases[lessee.name]
	part := appendBytes(make([]byte, 0, 32), int64(lessee.record.Revision), int64(lessee.leaseExpiry/timeStep), int64(lease.renewedAt/timeStep),
		int64(lease.AcknowledgedVersion))
	if m.paused[dispatcher] {
		part = appendBytes(part, -1)
	}
	for direction, messages := range [][]renewal{m.requests, m.responses} {
		var own []string
		for _, message := range messages {
			if message.from == dispatcher {
				own = append(own, string(appendBytes(nil, int64(-2-direction), int64(message.requestedAt/timeStep), int64(message.acknowledged), int64(message.record.Revision))))
			}
		}
		slices.Sort(own)
		part = append(part, strings.Join(own, "")...)
	}
	return string(part)
}

// search performs every sequence of at most depth actions, each action at most limits[action] times. It returns the actions that
// lead to the first contradiction, followed by its description; nil if there is none.
func search(model *fleetModel, depth int, limits [actionCount]int, seen map[string]int, path []string) []string {
	if found := model.contradiction(); found != "" {
		return append(path, found)
	}
	key := model.key(limits)
	if depth == 0 || seen[key] >= depth {
		return nil
	}
	seen[key] = depth
	for what, left := range limits {
		if left == 0 {
			continue
		}
		for target := range len(model.lessees) {
			if target > 0 && !action(what).hasTarget() {
				break
			}
			next, rest := model.clone(), limits
			if rest[what]--; !next.step(action(what), target) {
				continue
			}
			if found := search(next, depth-1, rest, seen, append(path, fmt.Sprint(what, ".", target))); found != nil {
				return found
			}
		}
	}
	return nil
}

// TestLeases_exhaustiveSearch searches all histories of two dispatchers with 12 steps and one change, and of three dispatchers with
// 11 steps and two changes, with a pause, a lost response and a change of leader. No two dispatchers may contradict each other, and
// the search must find each of three injected bugs.
func TestLeases_exhaustiveSearch(t *testing.T) {
	for _, test := range []struct {
		dispatchers, depth int
		limits             [actionCount]int
	}{
		{2, 12, [actionCount]int{4, 2, 2, 2, 0, 1, 1, 1, 1}},
		{3, 11, [actionCount]int{3, 3, 2, 2, 1, 2, 2, 1, 1}},
	} {
		for _, fault := range []fault{noFault, leaderDoesNotWait, leaseCountsFromResponse, newLeaderDoesNotWait} {
			t.Run(fmt.Sprintf("%d dispatchers %s", test.dispatchers, fault), func(t *testing.T) {
				t.Parallel()
				model := newFleetModel(test.dispatchers, fault)
				for i, lessee := range model.lessees { // all hold leases at the start
					_ = model.leaseTable.Renew(Dispatcher{Name: fmt.Sprint("d", i)}, 0)
					lessee.ApplyLease(model.record, 0, model.leaseDuration)
				}
				seen := map[string]int{}
				found := search(model, test.depth, test.limits, seen, nil)
				if (found != nil) != (fault != noFault) {
					t.Errorf("contradiction found: %v", found)
				}
				t.Logf("%d states", len(seen))
			})
		}
	}
}

// TestLeases_randomHistories draws long histories of up to five dispatchers and many changes. No two dispatchers may contradict each
// other. After the last renewal the leader waits for at most a lease duration, and then no dispatcher acts as if it held a lease.
func TestLeases_randomHistories(t *testing.T) {
	actions := []action{advanceTime, advanceTime, sendRenewal, sendRenewal, answerRenewal, answerRenewal, deliverResponse, deliverResponse,
		loseResponse, announceVersion, putVersionInForce, changeLeader, togglePause}
	property.Check(t, func(t *rapid.T) {
		model := newFleetModel(rapid.IntRange(2, 5).Draw(t, "dispatchers"), noFault)
		for range rapid.IntRange(0, 150).Draw(t, "steps") {
			model.step(rapid.SampledFrom(actions).Draw(t, "action"), rapid.IntRange(0, 4).Draw(t, "target"))
			if found := model.contradiction(); found != "" {
				t.Fatal(found)
			}
		}
		if announced := model.record.Announced; announced != nil {
			expired := model.now + model.leaseDuration + model.leaseDuration/50
			if may, waitsFor := model.leaseTable.MayPutInForce(announced.Number, expired); !may {
				t.Fatalf("the leader waits for %v although all leases have expired", waitsFor)
			}
		}
		for _, lessee := range model.lessees {
			if effective := lessee.Effective(model.now + model.leaseDuration); !effective.LeaseExpired || effective.Rules.RetriesAllowed {
				t.Fatalf("a lease duration after the last renewal: got %+v, want an expired lease without retries", effective)
			}
		}
	})
}
