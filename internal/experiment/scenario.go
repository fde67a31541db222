package experiment

import (
	"fmt"
	"time"

	"brassdale/internal/emulator"
	"brassdale/scheduler"
)

// Keywords of the file.
var (
	faultKindNames = map[string]emulator.FaultKind{
		"freeze":     emulator.Freeze,
		"silent":     emulator.Silent,
		"slow":       emulator.Slow,
		"restart":    emulator.Restart,
		"drain":      emulator.Drain,
		"unheard":    emulator.DelayedReports,
		"reset":      emulator.Reset,
		"partition":  emulator.Partition,
		"burst":      emulator.Burst,
		"heavy-tail": emulator.HeavyTail,
		"list-down":  emulator.DiscoveryDown,
		"list-hung":  emulator.DiscoveryHung,
	}
	effects = map[string]scheduler.Idempotency{
		"safe":   scheduler.Idempotent,
		"keyed":  scheduler.IdempotentWithKey,
		"unsafe": scheduler.NonIdempotent,
	}
	scopes = map[string]scheduler.DeduplicationScope{
		"":     scheduler.ScopeAll,
		"all":  scheduler.ScopeAll,
		"zone": scheduler.ScopeZone,
		"cell": scheduler.ScopeCell,
	}
)

// Scenario returns a variant's scenario for a seed.
func (f *File) Scenario(variant Variant, seed uint64) (emulator.Scenario, error) {
	scenario := emulator.ReferenceScenario(seed)
	if len(f.Kinds) > 0 {
		scenario.Kinds = nil
	}
	for _, configured := range f.Kinds {
		kind, err := configured.parse()
		if err != nil {
			return scenario, err
		}
		scenario.Kinds = append(scenario.Kinds, kind)
	}
	for _, configured := range f.Classes {
		class, err := configured.parse()
		if err != nil {
			return scenario, err
		}
		scenario.Traffic.Classes = append(scenario.Traffic.Classes, class)
		scenario.Traffic.Deadline = max(scenario.Traffic.Deadline, class.Deadline)
	}
	for _, configured := range f.Faults {
		fault, err := configured.parse()
		if err != nil {
			return scenario, err
		}
		scenario.Faults = append(scenario.Faults, fault)
	}
	for _, settings := range []*ScenarioSettings{f.Settings, variant.Set} {
		if err := settings.apply(&scenario); err != nil {
			return scenario, err
		}
	}
	if variant.Scale != nil {
		scale(&scenario, *variant.Scale)
	}
	return scenario, nil
}

// scale multiplies the scenario's rate, number of workers and number of concurrent fetches by a factor.
func scale(scenario *emulator.Scenario, factor float64) {
	scenario.Traffic.Rate *= factor
	scenario.Store.Slots = int(float64(scenario.Store.Slots) * factor)
	for i := range scenario.Kinds {
		scenario.Kinds[i].Count = int(float64(scenario.Kinds[i].Count)*factor + 0.5)
	}
}

// parse returns the kind in the emulator's terms.
func (k *WorkerKind) parse() (emulator.WorkerKind, error) {
	if len(k.Speed) != 2 {
		return emulator.WorkerKind{}, fmt.Errorf("kind %q: speed must be [minimum, maximum]", k.Name)
	}
	return emulator.WorkerKind{Name: k.Name, Count: k.Count, Slots: k.Slots, SpeedMin: k.Speed[0], SpeedMax: k.Speed[1], Sharing: k.Sharing}, nil
}

// parse returns the fault in the emulator's terms.
func (f *Fault) parse() (emulator.Fault, error) {
	kind, ok := faultKindNames[f.Kind]
	if !ok {
		return emulator.Fault{}, fmt.Errorf("unknown fault %q", f.Kind)
	}
	at, err := time.ParseDuration(f.At)
	if err != nil {
		return emulator.Fault{}, fmt.Errorf("fault %q: %w", f.Kind, err)
	}
	duration, err := time.ParseDuration(f.For)
	if err != nil {
		return emulator.Fault{}, fmt.Errorf("fault %q: %w", f.Kind, err)
	}
	return emulator.Fault{At: at, For: duration, Kind: kind, Share: f.Share, Size: f.Size}, nil
}

// parse returns the class in the emulator's terms.
func (c *Class) parse() (emulator.Class, error) {
	class := emulator.Class{Name: c.Name, Share: c.Share, Work: c.Work, WorkLogStdDev: c.WorkLogStdDev, ObjectiveStretch: c.ObjectiveStretch, PriorityWeight: c.PriorityWeight, TwoSlotShare: c.TwoSlotShare}
	var ok bool
	if class.Idempotency, ok = effects[c.Idempotency]; !ok {
		return class, fmt.Errorf("class %q: unknown effect %q", c.Name, c.Idempotency)
	}
	if class.DeduplicationScope, ok = scopes[c.DeduplicationScope]; !ok {
		return class, fmt.Errorf("class %q: unknown scope %q", c.Name, c.DeduplicationScope)
	}
	durations := []durationSetting{
		{"aim", &c.LatencyObjective, &class.LatencyObjective},
		{"give_up", &c.Deadline, &class.Deadline},
	}
	if c.DeduplicationWindow != "" {
		durations = append(durations, durationSetting{"window", &c.DeduplicationWindow, &class.DeduplicationWindow})
	}
	if err := parseDurations(durations); err != nil {
		return class, fmt.Errorf("class %q: %w", c.Name, err)
	}
	return class, nil
}

// durationSetting is a duration to be parsed: its key, its text (nil if it is not given), and where it is stored.
type durationSetting struct {
	key  string
	text *string
	to   *time.Duration
}

// parseDurations parses and stores the durations that are given. The error names the first that cannot be parsed.
func parseDurations(settings []durationSetting) error {
	for _, setting := range settings {
		if setting.text == nil {
			continue
		}
		duration, err := time.ParseDuration(*setting.text)
		if err != nil {
			return fmt.Errorf("%s: %w", setting.key, err)
		}
		*setting.to = duration
	}
	return nil
}

// setIfGiven stores a setting if it is given.
func setIfGiven[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

// apply stores in a scenario the settings that are given.
func (w *ScenarioSettings) apply(scenario *emulator.Scenario) error {
	if w == nil {
		return nil
	}
	traffic, network, reports := &scenario.Traffic, &scenario.Network, &scenario.Reports
	setIfGiven(&traffic.Rate, w.Rate)
	setIfGiven(&traffic.Work, w.Work)
	setIfGiven(&traffic.WorkLogStdDev, w.WorkLogStdDev)
	setIfGiven(&traffic.Retries, w.Retries)
	setIfGiven(&traffic.Subjects, w.Subjects)
	setIfGiven(&traffic.Users, w.Users)
	setIfGiven(&traffic.Memory, w.Memory)
	setIfGiven(&traffic.WorkEstimates, w.WorkEstimates)
	setIfGiven(&network.Zones, w.Zones)
	setIfGiven(&network.CrossPrice, w.CrossPrice)
	setIfGiven(&network.Handshake, w.Handshake)
	setIfGiven(&network.MaxConnections, w.MaxConnections)
	setIfGiven(&reports.Push, w.PushReports)
	setIfGiven(&reports.InAnswers, w.ReportsInAnswers)
	setIfGiven(&scenario.Store.Fetch, w.Fetch)
	setIfGiven(&scenario.Dispatchers, w.Dispatchers)
	setIfGiven(&scenario.Cells, w.Cells)
	setIfGiven(&scenario.Rules.MaxAttempts, w.MaxAttempts)
	setIfGiven(&scenario.Queue, w.Queue)
	setIfGiven(&scenario.KeepsCancelled, w.KeepsCancelled)
	setIfGiven(&scenario.LiveWeights, w.LiveWeights)
	setIfGiven(&scenario.ListPushed, w.ListPushed)
	if w.Greedy != nil && len(traffic.Accounts) > 0 {
		// The rate grows by the jobs that the first account sends beyond its share.
		first := &traffic.Accounts[0]
		more := first.Share * (*w.Greedy - 1)
		traffic.Rate *= 1 + more
		first.Share += more
	}
	return parseDurations([]durationSetting{
		{"span", w.Span, &scenario.Span},
		{"cross", w.Cross, &network.Cross},
		{"report_delay", w.ReportDelay, &reports.Delay},
		{"delay", w.Delay, &network.Delay},
		{"discovery", w.Discovery, &scenario.Discovery},
		{"reports", w.ReportInterval, &reports.Every},
		{"give_up", w.Deadline, &traffic.Deadline},
	})
}
