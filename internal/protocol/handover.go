package protocol

import (
	"time"

	"brassdale/internal/routing"
	"brassdale/scheduler"
)

// HandoverMessage is a message between a process and its successor, one line of JSON. Each message sets some of the fields.
type HandoverMessage struct {
	Handover *Handover      `json:"handover,omitempty"` // of the predecessor, its first message
	Usage    *HandoverUsage `json:"held,omitempty"`     // of the predecessor: the connections that it still has, and will not have more of

	Serving bool `json:"serving,omitempty"` // of the successor: it accepts clients

	// A question has a number, above 0; its answer repeats it.
	QuestionID uint64 `json:"ask,omitempty"`
	AnswerTo   uint64 `json:"answer,omitempty"`
	Yes        bool   `json:"yes,omitempty"`

	ReserveID string `json:"take,omitempty"` // of the successor: a Req-Id that it asks to reserve
	ReleaseID string `json:"free,omitempty"` // of the successor: a Req-Id that it releases

	Last bool `json:"last,omitempty"` // of the predecessor, a question before its end: whether all its messages were received

	Worker   string `json:"worker,omitempty"` // detached by the operator, or reattached
	Detached bool   `json:"out,omitempty"`

	Key        string         `json:"key,omitempty"`        // of the successor, a question: whether a job of this idempotency key is known
	Remembered *RememberedJob `json:"remembered,omitempty"` // of the predecessor: a job that has ended
	Relay      string         `json:"relay,omitempty"`      // with Serving: the socket at which the progress frontend accepts readers that the other process relays
}

// RememberedJob is a job of an idempotency key that has ended.
type RememberedJob struct {
	Key      string         `json:"key"`
	ID       string         `json:"id"`
	Digest   []byte         `json:"digest"`
	Events   []Event        `json:"events"`
	Answer   routing.Answer `json:"answer"`
	ForgetAt time.Time      `json:"forget"` // for builds without ForgetIn, which takes precedence

	// ForgetIn is how much longer the job is remembered, from when this was sent: the wall clock may be adjusted meanwhile.
	ForgetIn time.Duration `json:"forget_in_ns,omitempty"`

	Started bool `json:"started"`
}

// HandoverUsage is what a process has in use.
type HandoverUsage struct {
	Inbound  []int `json:"inbound"`  // connections, by frontend
	Outbound int   `json:"outbound"` // connections to workers
	OpenJobs int   `json:"jobs"`     // open jobs, where accounts have quotas of them
}

// Handover is the state that a successor begins with.
type Handover struct {
	Frontends       []string      `json:"fronts"` // frontends whose listeners are passed with it, in this order
	Discovery       string        `json:"discovery"`
	Revision        int64         `json:"revision"`
	Members         []KnownMember `json:"members"`
	Detached        []string      `json:"out"` // workers that are detached by the operator
	Relay           string        `json:"relay,omitempty"`
	ListUnconfirmed bool          `json:"unsure,omitempty"` // the list is a cached one that no discovery has confirmed

	LearnedState scheduler.LearnedState               `json:"experience"` // of workers; that of classes is in Classes, by name
	Classes      map[string]scheduler.ClassStatistics `json:"classes"`
}

// KnownMember is an endpoint as the predecessor knows it.
type KnownMember struct {
	Member
	NotifiedAt time.Time `json:"told"` // that it is draining; for builds without NotifiedAgo, which goes before it

	// NotifiedAgo is the time since the notification, from when this was sent: the wall clock may be adjusted meanwhile.
	NotifiedAgo time.Duration `json:"told_ago_ns,omitempty"`

	// OtherServiceAgo is the time since its state was last received from a discovery service whose revisions cannot be compared with
	// Handover.Revision; 0 for never.
	OtherServiceAgo time.Duration `json:"other_service_ago_ns,omitempty"`

	// ReturnUnconfirmed is set for a draining worker that a list which may be older shows as ready.
	ReturnUnconfirmed bool `json:"return_unconfirmed,omitempty"`

	// StartedAgo is the time since it started, as far as the predecessor knew; 0 for long ago.
	StartedAgo time.Duration `json:"started_ago_ns,omitempty"`
}

// notifiedAt returns when this dispatcher was notified that the endpoint is draining, on the clock of this process; zero for never.
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

// KnownMembers converts endpoints for the handover. Zones and machine kinds are named: their numbers are each process's own.
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

// nameOf returns the name of a number; empty for a number without one.
func nameOf(names []string, number int) string {
	if number < 0 || number >= len(names) {
		return ""
	}
	return names[number]
}

// ListUpdate converts the predecessor's list to the terms of the core. Its revision counts only if both processes poll the same
// discovery, whose address is given.
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
