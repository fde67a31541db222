package protocol

import (
	"time"

	"brassdale/internal/routing"
	"brassdale/scheduler"
)

// HandoverMessage is a message between a process and its successor, one line of JSON. Each message sets some of the fields.
type HandoverMessage struct {
	Handover *Handover      `json:"handover,omitempty"` // from the predecessor: its first message
	Usage    *HandoverUsage `json:"held,omitempty"`     // from the predecessor: the connections that it has or may still open, and its open jobs

	Serving bool `json:"serving,omitempty"` // from the successor: it accepts clients

	// A question has an ID above 0, which its answer repeats.
	QuestionID uint64 `json:"ask,omitempty"`
	AnswerTo   uint64 `json:"answer,omitempty"`
	Yes        bool   `json:"yes,omitempty"`

	ReserveID string `json:"take,omitempty"` // from the successor, a question: a Req-Id to reserve
	ReleaseID string `json:"free,omitempty"` // from the successor: a Req-Id to release

	Last bool `json:"last,omitempty"` // from the predecessor, a question before it ends: whether all its messages were received

	Worker   string `json:"worker,omitempty"` // detached or reattached by the operator
	Detached bool   `json:"out,omitempty"`

	Key        string               `json:"key,omitempty"`        // from the successor, a question: whether a job with this idempotency key is known
	Remembered *RememberedJob       `json:"remembered,omitempty"` // from the predecessor: a job that has ended
	KeyedRuns  []scheduler.KeyedRun `json:"keyed_runs,omitempty"` // idempotency keys that may have run in the sender

	Relay string `json:"relay,omitempty"` // with Serving: the path of the socket at which the successor takes requests that the predecessor relays
}

// RememberedJob is a job with an idempotency key that has ended.
type RememberedJob struct {
	Key      string         `json:"key"`
	ID       string         `json:"id"`
	Digest   []byte         `json:"digest"`
	Events   []Event        `json:"events"`
	Answer   routing.Answer `json:"answer"`
	ForgetAt time.Time      `json:"forget"` // for builds without ForgetIn; ForgetIn takes precedence

	// ForgetIn is how much longer the job is remembered after this was sent. Unlike ForgetAt it allows for an adjusted wall clock.
	ForgetIn time.Duration `json:"forget_in_ns,omitempty"`

	Started bool `json:"started"`
}

// HandoverUsage is what a process uses of the limits that it shares with its peer process.
type HandoverUsage struct {
	Inbound  []int `json:"inbound"`  // connections, by frontend
	Outbound int   `json:"outbound"` // connections to workers
	OpenJobs int   `json:"jobs"`     // open jobs; 0 if accounts have no quotas of open jobs
}

// Handover is the state that a successor starts with.
type Handover struct {
	Frontends       []string      `json:"fronts"` // frontends whose listeners are passed along, in this order
	Discovery       string        `json:"discovery"`
	Revision        int64         `json:"revision"`
	Members         []KnownMember `json:"members"`
	Detached        []string      `json:"out"` // workers that are detached by the operator
	Relay           string        `json:"relay,omitempty"`
	ListUnconfirmed bool          `json:"unsure,omitempty"` // the list is from the endpoint cache, and discovery has not confirmed it

	LearnedState scheduler.LearnedState               `json:"experience"` // of workers; the statistics of classes are in Classes, by name
	Classes      map[string]scheduler.ClassStatistics `json:"classes"`
}

// KnownMember is an endpoint as the predecessor knows it.
type KnownMember struct {
	Member
	NotifiedAt time.Time `json:"told"` // when this dispatcher was notified of the drain, for builds without NotifiedAgo; NotifiedAgo takes precedence

	// NotifiedAgo is the time from the notification until this was sent. Unlike NotifiedAt it allows for an adjusted wall clock.
	NotifiedAgo time.Duration `json:"told_ago_ns,omitempty"`

	// OtherServiceAgo is the time since the endpoint's state was last received from a discovery service whose revisions cannot be
	// compared with Handover.Revision. It is 0 if the state was never received from such a service.
	OtherServiceAgo time.Duration `json:"other_service_ago_ns,omitempty"`

	// ReturnUnconfirmed is set for a draining worker if a list shows it as ready, but that list may be older than the drain.
	ReturnUnconfirmed bool `json:"return_unconfirmed,omitempty"`

	// StartedAgo is the time since the worker started, as the predecessor knew it; 0 for long ago.
	StartedAgo time.Duration `json:"started_ago_ns,omitempty"`
}

// notifiedAt returns when this dispatcher was notified that the endpoint is draining, on the clock of this process. It returns the
// zero time if there was no notification.
func (k KnownMember) notifiedAt(now time.Time) time.Time {
	if k.NotifiedAgo > 0 {
		return now.Add(-k.NotifiedAgo)
	}
	return k.NotifiedAt
}

// ForgottenAt returns when the job is to be forgotten, on the clock of this process.
func (r *RememberedJob) ForgottenAt(now time.Time) time.Time {
	if r.ForgetIn > 0 {
		return now.Add(r.ForgetIn)
	}
	return r.ForgetAt
}

// KnownMembers converts endpoints for the handover. Zones and machine kinds are passed by name, because their numbers may differ
// between processes.
func KnownMembers(endpoints []routing.Endpoint, settings *Settings) (known []KnownMember) {
	now := time.Now()
	for i, member := range Members(endpoints, settings) {
		entry := KnownMember{Member: member, NotifiedAt: endpoints[i].NotifiedAt, StartedAgo: endpoints[i].Age,
			ReturnUnconfirmed: endpoints[i].ReturnUnconfirmed}
		if otherServiceAt := endpoints[i].OtherServiceAt; !otherServiceAt.IsZero() {
			entry.OtherServiceAgo = max(now.Sub(otherServiceAt), time.Nanosecond)
		}
		if !entry.NotifiedAt.IsZero() {
			entry.NotifiedAgo = max(now.Sub(entry.NotifiedAt), time.Nanosecond)
		}
		known = append(known, entry)
	}
	return known
}

// Members converts endpoints to members of a list of discovery.
func Members(endpoints []routing.Endpoint, settings *Settings) (members []Member) {
	for i := range endpoints {
		endpoint := &endpoints[i]
		member := Member{
			ID: string(endpoint.ID), HostPort: endpoint.Address, Cell: endpoint.Cell, Size: endpoint.Weight,
			Locality: nameOf(settings.Zones, endpoint.Zone), Flavor: nameOf(settings.Flavors, endpoint.MachineKind),
			UpSinceMS: endpoint.StartedAt.Milliseconds(),
		}
		for phase, state := range phases {
			if state == endpoint.State {
				member.Phase = phase
			}
		}
		members = append(members, member)
	}
	return members
}

// nameOf returns the name of a number. It returns an empty text if the number has no name.
func nameOf(names []string, number int) string {
	if number < 0 || number >= len(names) {
		return ""
	}
	return names[number]
}

// ListUpdate converts the predecessor's list to the terms of the core. discovery is the address that this process polls; the list's
// revision is kept only if the predecessor polled the same address.
func (h *Handover) ListUpdate(discovery string, settings *Settings) (routing.ListUpdate, error) {
	list := List{Revision: h.Revision, Complete: true}
	for _, known := range h.Members {
		list.Members = append(list.Members, known.Member)
	}
	if err := list.Check(); err != nil {
		return routing.ListUpdate{}, err
	}
	update := routing.ListUpdate{Revision: h.Revision, Complete: true, Endpoints: list.Endpoints(settings)}
	if h.Discovery != discovery {
		update.Revision = routing.NoRevision
	}
	now := time.Now()
	for i := range update.Endpoints {
		endpoint, known := &update.Endpoints[i], &h.Members[i]
		endpoint.NotifiedAt, endpoint.Age, endpoint.ReturnUnconfirmed = known.notifiedAt(now), known.StartedAgo, known.ReturnUnconfirmed
		if known.OtherServiceAgo > 0 {
			endpoint.OtherServiceAt = now.Add(-known.OtherServiceAgo)
		}
	}
	return update, nil
}
