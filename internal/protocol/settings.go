package protocol

import (
	"slices"
	"sync/atomic"
	"time"

	"brassdale/internal/routing"
	"brassdale/scheduler"
)

// Micros is a time or a span on the wire.
type Micros int64

// Duration gives it as a duration.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Settings are the settings on the wire; unknown keys are skipped.
type Settings struct {
	Classes []struct {
		Name       string
		Aim        Micros
		Credit     float64
		Deadline   Micros
		DedupScope string
		Effect     string
		LateWorth  float64
		Stream     bool
		Window     Micros
		AimStretch float64
	}
	CountedBy  string
	Discovery  string
	Flavors    []string
	Zones      []string
	FamilyInfo struct {
		ClassKind    []int
		ClassStretch []float64
		Progress     Micros
		TellsStart   bool
	}
	Limits struct {
		Cancel         bool
		ConnIdle       Micros
		ConnectTimeout Micros
		MaxAttempts    int
		MaxRetryAfter  Micros
		MayDuplicate   bool
		Probing        bool
		RetryAfter     bool
	}
	LoadReport struct {
		Columns []string
		Via     string
	}
	Locality     int
	Ordinal      int
	Prices       struct{ CrossZone float64 }
	ReplicasOfMe int
	Rules        struct {
		AnswerSlack   Micros
		AskWithin     Micros
		Cold          Micros
		DrainGrace    Micros
		Fall          Micros
		StartCapacity float64
		TipMultiple   float64
	}

	numbers []int // of the classes, in the module
}

// ListsPushed tells whether lists are pushed: discovery's address is then that of an agent on this machine.
func (p *Settings) ListsPushed() bool { return p.Discovery == "push" }

// LiveSettings holds the settings in force. They are replaced as a whole: whoever begins something takes them once.
type LiveSettings struct {
	now atomic.Pointer[Settings]

	// Owned by whoever calls Put. A class keeps its number in the module for good, so that jobs keep the rules that
	// they began with; one whose rules change gets a further number, and its old one if they change back.
	names   []string
	classes []scheduler.Class
}

// Current gives the settings in force.
func (l *LiveSettings) Current() *Settings { return l.now.Load() }

// StatisticsByName gives an experience's classes by their names, as far as they are in force.
func (l *LiveSettings) StatisticsByName(e scheduler.LearnedState) map[string]scheduler.ClassStatistics {
	p, named := l.Current(), map[string]scheduler.ClassStatistics{}
	for i, n := range p.numbers {
		if n < len(e.Classes) {
			named[p.Classes[i].Name] = e.Classes[n]
		}
	}
	return named
}

// StatisticsByNumber puts classes that another process named into the numbers of this one.
func (l *LiveSettings) StatisticsByNumber(named map[string]scheduler.ClassStatistics) []scheduler.ClassStatistics {
	p := l.Current()
	classes := make([]scheduler.ClassStatistics, len(p.numbers))
	for i, n := range p.numbers {
		if n < len(classes) {
			classes[n] = named[p.Classes[i].Name]
		}
	}
	return classes
}

// Replace numbers the classes, gives the settings in the module's terms to swap, and puts them in force. The module must
// know them before the first job of a new class: it is told in between.
func (l *LiveSettings) Replace(p *Settings, swap func(scheduler.Settings)) {
	s := p.SchedulerSettings()
	p.numbers = nil
	for i, class := range s.Classes {
		n := 0
		for n < len(l.names) && (l.names[n] != p.Classes[i].Name || l.classes[n] != class) {
			n++
		}
		if n == len(l.names) {
			l.names, l.classes = append(l.names, p.Classes[i].Name), append(l.classes, class)
		}
		p.numbers = append(p.numbers, n)
	}
	s.Classes = slices.Clone(l.classes)
	swap(s)
	l.now.Store(p)
}

// SchedulerSettings gives the settings in the module's terms.
func (p *Settings) SchedulerSettings() scheduler.Settings {
	s := scheduler.Settings{
		DispatcherIndex: p.Ordinal, Dispatchers: p.ReplicasOfMe, Zone: p.Locality,
		ListPolled:        p.Discovery == "ask",
		ReportsPulled:     p.LoadReport.Via == "pull",
		ReportsStart:      p.FamilyInfo.TellsStart,
		ProgressInterval:  p.FamilyInfo.Progress.Duration(),
		MayProbe:          p.Limits.Probing,
		MayCancel:         p.Limits.Cancel,
		MayHedge:          p.Limits.MayDuplicate,
		MayAdviseRetry:    p.Limits.RetryAfter,
		MaxAttempts:       p.Limits.MaxAttempts,
		MaxRetryAfter:     p.Limits.MaxRetryAfter.Duration(),
		AnswerSlack:       p.Rules.AnswerSlack.Duration(),
		MaxPollInterval:   p.Rules.AskWithin.Duration(),
		SlowStartDuration: p.Rules.Cold.Duration(),
		SlowStartCapacity: p.Rules.StartCapacity,
		OverloadMultiple:  p.Rules.TipMultiple,
		OverloadWindow:    p.Rules.Fall.Duration(),

		CrossZoneCost: p.Prices.CrossZone,
		WeightByWork:  p.CountedBy == "work",
	}
	if s.ListPolled {
		s.ListValidity = routing.ListNotificationDeadline + p.Rules.DrainGrace.Duration()
	}
	for i, c := range p.Classes {
		class := scheduler.Class{
			LatencyObjective: c.Aim.Duration(), ObjectiveStretch: c.AimStretch, Deadline: c.Deadline.Duration(),
			PriorityWeight: c.Credit, LateWeight: c.LateWorth, DeduplicationWindow: c.Window.Duration(), Streamed: c.Stream,
			Idempotency: scheduler.NonIdempotent, DeduplicationScope: scheduler.ScopeAll, MachineKind: -1,
		}
		switch c.Effect {
		case "safe":
			class.Idempotency = scheduler.Idempotent
		case "keyed":
			class.Idempotency = scheduler.IdempotentWithKey
		}
		switch c.DedupScope {
		case "zone":
			class.DeduplicationScope = scheduler.ScopeZone
		case "cell":
			class.DeduplicationScope = scheduler.ScopeCell
		}
		if i < len(p.FamilyInfo.ClassKind) {
			class.MachineKind = p.FamilyInfo.ClassKind[i]
		}
		if i < len(p.FamilyInfo.ClassStretch) {
			class.ObjectiveStretch = p.FamilyInfo.ClassStretch[i]
		}
		s.Classes = append(s.Classes, class)
	}
	return s
}

// Report names the values of a load report by the columns of the settings.
func (p *Settings) Report(row []float64) *scheduler.Report {
	if row == nil {
		return nil
	}
	r := noReport()
	for i, name := range p.LoadReport.Columns {
		if i < len(row) {
			setColumn(r, name, row[i])
		}
	}
	return r
}

func noReport() *scheduler.Report {
	return &scheduler.Report{Busy: -1, Requests: -1, FreeSlots: -1, Queue: -1}
}

// setColumn puts one figure into a report. Settings and simulator use other names than the sockets;
// names that the module has no use for are skipped.
func setColumn(r *scheduler.Report, name string, x float64) {
	switch name {
	case "cpu_share", "util":
		r.Busy = x
	case "busy_reqs", "inflight":
		r.Requests = x
	case "pending", "queue":
		r.Queue = x
	case "x0":
		r.FreeSlots = x
	}
}
