package protocol

import (
	"slices"
	"sync/atomic"
	"time"

	"brassdale/internal/routing"
	"brassdale/scheduler"
)

// Micros is a time or a duration on the wire, in microseconds.
type Micros int64

// Duration converts m to a time.Duration.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Values of the settings on the wire.
const (
	effectSafe  = "safe"  // Effect: scheduler.Idempotent
	effectKeyed = "keyed" // Effect: scheduler.IdempotentWithKey; any other: scheduler.NonIdempotent

	scopeZone = "zone" // DedupScope: scheduler.ScopeZone
	scopeCell = "cell" // DedupScope: scheduler.ScopeCell; any other: scheduler.ScopeAll

	listsPushed = "push" // Discovery: lists are pushed to an agent on this machine
	listsPolled = "ask"  // Discovery: lists are polled, and only once the scheduler asks for them

	reportsPulled = "pull"   // LoadReport.Via: in responses to probes only
	reportsNever  = "silent" // LoadReport.Via: workers have no reports

	countedByWork = "work" // CountedBy: the weight of a request grows with its work
)

// Settings are the settings on the wire. A key is the field's name with a lower-case first letter; the field's comment names the
// term of the scheduler for it. Unknown keys are ignored.
type Settings struct {
	Classes []struct { // scheduler.Class
		Name       string
		Aim        Micros  // LatencyObjective
		Credit     float64 // PriorityWeight
		Deadline   Micros
		DedupScope string  // DeduplicationScope
		Effect     string  // Idempotency
		LateWorth  float64 // LateWeight
		Stream     bool    // Streamed
		Window     Micros  // DeduplicationWindow
		AimStretch float64 // ObjectiveStretch; FamilyInfo.ClassStretch takes precedence
	}
	CountedBy  string   // WeightByWork
	Discovery  string   // ListPolled, and polling.Rules.ListsPushed
	Flavors    []string // machine kinds, by number
	Zones      []string // by number
	FamilyInfo struct {
		ClassKind    []int     // MachineKind, by class
		ClassStretch []float64 // ObjectiveStretch, by class
		Progress     Micros    // ProgressInterval
		TellsStart   bool      // ReportsStart
	}
	Limits struct {
		Cancel         bool   // MayCancel
		ConnIdle       Micros // workers close connections that are idle for this long
		ConnectTimeout Micros // of connections to workers
		MaxAttempts    int
		MaxRetryAfter  Micros
		MayDuplicate   bool // MayHedge
		Probing        bool // MayProbe
		RetryAfter     bool // MayAdviseRetry
	}
	LoadReport struct {
		Columns []string // fields of scheduler.Report, see setColumn
		Via     string   // ReportsPulled
	}
	Locality     int                         // Zone of this dispatcher
	Ordinal      int                         // DispatcherIndex
	Prices       struct{ CrossZone float64 } // CrossZoneCost
	ReplicasOfMe int                         // Dispatchers
	Rules        struct {
		AnswerSlack   Micros
		AskWithin     Micros  // MaxPollInterval
		Cold          Micros  // SlowStartDuration
		DrainGrace    Micros  // drain grace, from the notification of a drain
		Fall          Micros  // OverloadWindow
		StartCapacity float64 // SlowStartCapacity
		TipMultiple   float64 // OverloadMultiple
	}

	classNumbers []int // the scheduler's number of each of Classes
}

// ListsPushed reports whether lists are pushed: the address of discovery is then the address of an agent on this machine.
func (s *Settings) ListsPushed() bool { return s.Discovery == listsPushed }

// Class returns the index in Classes of the class with this name, and whether there is one.
func (s *Settings) Class(name string) (int, bool) {
	for i := range s.Classes {
		if s.Classes[i].Name == name {
			return i, true
		}
	}
	return 0, false
}

// HasClass reports whether there is a class with this name.
func (s *Settings) HasClass(name string) bool {
	_, ok := s.Class(name)
	return ok
}

// LongestDeadline returns the longest time that a client of any class waits.
func (s *Settings) LongestDeadline() (longest time.Duration) {
	for i := range s.Classes {
		longest = max(longest, s.ClassDeadline(i))
	}
	return longest
}

// ClassDeadline returns the longest time that a client of a class waits. class is its index in Classes.
func (s *Settings) ClassDeadline(class int) time.Duration {
	return s.Classes[class].Deadline.Duration()
}

// LiveSettings holds the current settings. They are replaced as a whole: an operation calls Current only once, so that all its
// settings are of one version. Current may be called from any goroutine. Calls of Replace must not overlap.
type LiveSettings struct {
	current atomic.Pointer[Settings]

	// Owned by the caller of Replace. A class keeps its number at the scheduler for the life of the process, so that requests keep
	// the rules that they began with. If the rules of a class change, the class gets a new number; if the rules change back, it
	// gets its old number again.
	names   []string
	classes []scheduler.Class
}

// Current returns the current settings. The caller must not change them.
func (l *LiveSettings) Current() *Settings { return l.current.Load() }

// StatisticsByName returns the statistics of the current classes by name, because class numbers differ between processes.
func (l *LiveSettings) StatisticsByName(learned scheduler.LearnedState) map[string]scheduler.ClassStatistics {
	settings, named := l.Current(), map[string]scheduler.ClassStatistics{}
	for class, number := range settings.classNumbers {
		if number < len(learned.Classes) {
			named[settings.Classes[class].Name] = learned.Classes[number]
		}
	}
	return named
}

// StatisticsByNumber converts another process's statistics by class name to statistics by this process's class numbers.
func (l *LiveSettings) StatisticsByNumber(named map[string]scheduler.ClassStatistics) []scheduler.ClassStatistics {
	settings := l.Current()
	statistics := make([]scheduler.ClassStatistics, len(settings.classNumbers))
	for class, number := range settings.classNumbers {
		if number < len(statistics) {
			statistics[number] = named[settings.Classes[class].Name]
		}
	}
	return statistics
}

// Replace numbers the classes of the new settings, calls apply with the scheduler's settings, and only then makes Current return
// the new settings: the scheduler must know a class before its first request.
func (l *LiveSettings) Replace(settings *Settings, apply func(scheduler.Settings)) {
	converted := settings.SchedulerSettings()
	settings.classNumbers = nil
	for i, class := range converted.Classes {
		settings.classNumbers = append(settings.classNumbers, l.classNumber(settings.Classes[i].Name, class))
	}
	converted.Classes = slices.Clone(l.classes)
	apply(converted)
	l.current.Store(settings)
}

// classNumber returns the number of the class with this name and these rules, or a new number if there is none.
func (l *LiveSettings) classNumber(name string, class scheduler.Class) int {
	number := 0
	for number < len(l.names) && (l.names[number] != name || l.classes[number] != class) {
		number++
	}
	if number == len(l.names) {
		l.names, l.classes = append(l.names, name), append(l.classes, class)
	}
	return number
}

// SchedulerSettings converts the settings to the terms of the scheduler.
func (s *Settings) SchedulerSettings() scheduler.Settings {
	converted := scheduler.Settings{
		DispatcherIndex: s.Ordinal, Dispatchers: s.ReplicasOfMe, Zone: s.Locality,
		ListPolled:        s.Discovery == listsPolled,
		ReportsPulled:     s.LoadReport.Via == reportsPulled,
		ReportsStart:      s.FamilyInfo.TellsStart,
		ProgressInterval:  s.FamilyInfo.Progress.Duration(),
		MayProbe:          s.Limits.Probing,
		MayCancel:         s.Limits.Cancel,
		MayHedge:          s.Limits.MayDuplicate,
		MayAdviseRetry:    s.Limits.RetryAfter,
		MaxAttempts:       s.Limits.MaxAttempts,
		MaxRetryAfter:     s.Limits.MaxRetryAfter.Duration(),
		AnswerSlack:       s.Rules.AnswerSlack.Duration(),
		MaxPollInterval:   s.Rules.AskWithin.Duration(),
		SlowStartDuration: s.Rules.Cold.Duration(),
		SlowStartCapacity: s.Rules.StartCapacity,
		OverloadMultiple:  s.Rules.TipMultiple,
		OverloadWindow:    s.Rules.Fall.Duration(),

		CrossZoneCost: s.Prices.CrossZone,
		WeightByWork:  s.CountedBy == countedByWork,
	}
	if converted.ListPolled {
		converted.ListValidity = routing.ListNotificationDeadline + s.Rules.DrainGrace.Duration()
	}
	for i := range s.Classes {
		converted.Classes = append(converted.Classes, s.schedulerClass(i))
	}
	return converted
}

// schedulerClass converts a class to the terms of the scheduler.
func (s *Settings) schedulerClass(number int) scheduler.Class {
	wire := &s.Classes[number]
	class := scheduler.Class{
		LatencyObjective: wire.Aim.Duration(), ObjectiveStretch: wire.AimStretch, Deadline: wire.Deadline.Duration(),
		PriorityWeight: wire.Credit, LateWeight: wire.LateWorth, DeduplicationWindow: wire.Window.Duration(), Streamed: wire.Stream,
		Idempotency: scheduler.NonIdempotent, DeduplicationScope: scheduler.ScopeAll, MachineKind: -1,
	}
	switch wire.Effect {
	case effectSafe:
		class.Idempotency = scheduler.Idempotent
	case effectKeyed:
		class.Idempotency = scheduler.IdempotentWithKey
	}
	switch wire.DedupScope {
	case scopeZone:
		class.DeduplicationScope = scheduler.ScopeZone
	case scopeCell:
		class.DeduplicationScope = scheduler.ScopeCell
	}
	if number < len(s.FamilyInfo.ClassKind) {
		class.MachineKind = s.FamilyInfo.ClassKind[number]
	}
	if number < len(s.FamilyInfo.ClassStretch) {
		class.ObjectiveStretch = s.FamilyInfo.ClassStretch[number]
	}
	return class
}

// Report converts a row of a load report, in the order of LoadReport.Columns. It returns nil if row is nil.
func (s *Settings) Report(row []float64) *scheduler.Report {
	if row == nil {
		return nil
	}
	report := emptyReport()
	for i, name := range s.LoadReport.Columns {
		if i < len(row) {
			setColumn(report, name, row[i])
		}
	}
	return report
}

// emptyReport returns a report in which each value counts as not reported.
func emptyReport() *scheduler.Report {
	return &scheduler.Report{Busy: -1, Requests: -1, FreeSlots: -1, Queue: -1}
}

// setColumn sets one value of a report. The settings and the simulator use other names than the messages of workers. Names of values
// that the scheduler does not use are ignored.
func setColumn(report *scheduler.Report, name string, value float64) {
	switch name {
	case "cpu_share", "util":
		report.Busy = value
	case "busy_reqs", "inflight":
		report.Requests = value
	case "pending", "queue":
		report.Queue = value
	case "x0":
		report.FreeSlots = value
	}
}
