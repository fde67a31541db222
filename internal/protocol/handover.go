package protocol

import (
	"time"

	"brassdale/internal/routing"
	"brassdale/scheduler"
)

// HandoverMessage is a message between a process and the one that replaces it, a line of JSON. Each uses some fields.
type HandoverMessage struct {
	Handover *Handover      `json:"handover,omitempty"` // the predecessor's first word
	Usage    *HandoverUsage `json:"held,omitempty"`     // the predecessor: all that it still holds, and will hold no more of

	Serving bool `json:"serving,omitempty"` // the successor takes clients

	// A question has a number; its answer repeats it.
	QuestionID uint64 `json:"ask,omitempty"`
	AnswerTo   uint64 `json:"answer,omitempty"`
	Yes        bool   `json:"yes,omitempty"`

	ReserveID string `json:"take,omitempty"` // the successor asks for a Req-Id
	ReleaseID string `json:"free,omitempty"` // and gives it back

	Last bool `json:"last,omitempty"` // the predecessor asks before its end whether all that it told was taken

	Worker   string `json:"worker,omitempty"` // put out by hand, or back
	Detached bool   `json:"out,omitempty"`

	Key        string         `json:"key,omitempty"`        // the successor asks whether a job is known under it
	Remembered *RememberedJob `json:"remembered,omitempty"` // the predecessor's jobs that have ended
	Relay      string         `json:"relay,omitempty"`      // with Serving: where the front for progress takes the other's readers
}

// RememberedJob is an ended job of the front for progress.
type RememberedJob struct {
	Key      string         `json:"key"`
	ID       string         `json:"id"`
	Digest   []byte         `json:"digest"`
	Events   []Event        `json:"events"`
	Answer   routing.Answer `json:"answer"`
	ForgetAt time.Time      `json:"forget"` // for builds that know no other; ForgetIn goes before it

	// ForgetIn is how much longer the job is remembered, from when this was sent: the wall clock may be set meanwhile.
	ForgetIn time.Duration `json:"forget_in_ns,omitempty"`

	Started bool `json:"started"`
}

// HandoverUsage counts connections.
type HandoverUsage struct {
	Inbound  []int `json:"inbound"` // by front
	Outbound int   `json:"outbound"`
	OpenJobs int   `json:"jobs"` // open ones, where accounts have shares of the room
}

// Handover is what a successor begins with.
type Handover struct {
	Fronts          []string      `json:"fronts"` // whose listeners come with it, in order
	Discovery       string        `json:"discovery"`
	Revision        int64         `json:"revision"`
	Members         []KnownMember `json:"members"`
	Detached        []string      `json:"out"` // workers that are out by hand
	Relay           string        `json:"relay,omitempty"`
	ListUnconfirmed bool          `json:"unsure,omitempty"` // the list is saved, and nobody told a newer one

	LearnedState scheduler.LearnedState               `json:"experience"` // classes are by name, beside it
	Classes      map[string]scheduler.ClassStatistics `json:"classes"`
}

// KnownMember is a member as the predecessor knows it.
type KnownMember struct {
	Member
	NotifiedAt time.Time `json:"told"` // that it drains; for builds that know no other, ToldAgo goes before it

	// NotifiedAgo is how long ago it was told, from when this was sent: the wall clock may be set meanwhile.
	NotifiedAgo time.Duration `json:"told_ago_ns,omitempty"`

	// StartedAgo is how long ago it started, as far as the predecessor knew; 0 for long ago.
	StartedAgo time.Duration `json:"started_ago_ns,omitempty"`
}

// told gives when the member was told to drain, on this process's clock; zero where it was not.
func (k KnownMember) told(now time.Time) time.Time {
	if k.NotifiedAgo > 0 {
		return now.Add(-k.NotifiedAgo)
	}
	return k.NotifiedAt
}

// ForgottenAt gives when the job is to be forgotten, on this process's clock.
func (r *RememberedJob) ForgottenAt(now time.Time) time.Time {
	if r.ForgetIn > 0 {
		return now.Add(r.ForgetIn)
	}
	return r.ForgetAt
}

// KnownMembers gives destinations in the words of discovery, whose numbers of zones and kinds are each process's own.
func KnownMembers(ds []routing.Endpoint, p *Settings) (known []KnownMember) {
	now := time.Now()
	for i, m := range Members(ds, p) {
		k := KnownMember{Member: m, NotifiedAt: ds[i].NotifiedAt, StartedAgo: ds[i].Age}
		if !k.NotifiedAt.IsZero() {
			k.NotifiedAgo = max(now.Sub(k.NotifiedAt), time.Nanosecond)
		}
		known = append(known, k)
	}
	return known
}

// Members gives destinations in the words of discovery.
func Members(ds []routing.Endpoint, p *Settings) (members []Member) {
	name := func(names []string, i int) string {
		if i < 0 || i >= len(names) {
			return ""
		}
		return names[i]
	}
	for _, d := range ds {
		m := Member{ID: string(d.ID), HostPort: d.Address, Cell: d.Cell, Size: d.Weight,
			Locality: name(p.Zones, d.Zone), Flavor: name(p.Flavors, d.MachineKind), UpSinceMS: d.StartedAt.Milliseconds()}
		for phase, state := range phases {
			if state == d.State {
				m.Phase = phase
			}
		}
		members = append(members, m)
	}
	return members
}

// Update gives the predecessor's list in the core's terms. Its revision counts only where both ask the same discovery.
func (s *Handover) Update(discovery string, p *Settings) (routing.ListUpdate, error) {
	l := List{Revision: s.Revision, Complete: true}
	for _, k := range s.Members {
		l.Members = append(l.Members, k.Member)
	}
	if err := l.Check(); err != nil {
		return routing.ListUpdate{}, err
	}
	u := routing.ListUpdate{Revision: s.Revision, Complete: true, Endpoints: l.Destinations(p)}
	if s.Discovery != discovery {
		u.Revision = routing.FullList
	}
	now := time.Now()
	for i := range u.Endpoints {
		u.Endpoints[i].NotifiedAt = s.Members[i].told(now)
		u.Endpoints[i].Age = s.Members[i].StartedAgo
	}
	return u, nil
}
