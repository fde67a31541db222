package fit

import (
	"slices"
	"strings"
)

// Roles in reports: a metric is the cost at the role.
const (
	roleDispatcher = "dispatcher"
	roleVoter      = "seat"
	roleLeader     = "leader"
	roleFleet      = "fleet"
)

// metric is a value of a run that is fitted and compared. Its name is the name in result files.
type metric struct{ role, name string }

// metrics are the metrics that are a single number in a run, in the order of reports.
var metrics = []metric{
	{roleDispatcher, "control_bytes_s_p50"}, {roleDispatcher, "control_bytes_s_p99"}, {roleDispatcher, "control_bytes_s_mean"},
	{roleDispatcher, "control_messages_s"}, {roleDispatcher, "control_cpu_ms_s"}, {roleDispatcher, "hollow_cpu_ms_s"},
	{roleDispatcher, "control_memory_mb"}, {roleDispatcher, "rest.bytes_s"}, {roleDispatcher, "rest.messages_s"}, {roleDispatcher, "change.bytes"},
	{roleVoter, "seat_bytes_s_most"}, {roleVoter, "seat_cpu_ms_s_most"}, {roleVoter, "seat_memory_mb_most"},
	{roleLeader, "leader_bytes_s"}, {roleLeader, "leader_cpu_ms_s"},
	{roleFleet, "in_force_p99_ms"}, {roleFleet, "in_force_p999_ms"},
}

// metricsByKind are objects with a number for each kind of control message; each number is a metric "object.kind".
var metricsByKind = []metric{
	{roleDispatcher, "bytes_by_kind"}, {roleDispatcher, "messages_by_kind"}, {roleDispatcher, "rest.bytes_by_kind"},
	{roleVoter, "seat_bytes_by_kind"}, {roleLeader, "leader_bytes_by_kind"},
}

// otherReportedValues appear in reports in addition to the parameters of a sweep and the metrics.
var otherReportedValues = []string{paramSeed, paramChanges, "contradiction_max_ms", "rules_broken"}

// isReported reports whether a value of this name appears in reports and so must be a number.
func isReported(name string) bool {
	return slices.Contains(sweepParameters, name) || slices.Contains(otherReportedValues, name) ||
		slices.ContainsFunc(metrics, func(m metric) bool { return m.name == name }) ||
		slices.ContainsFunc(metricsByKind, func(m metric) bool { return m.name == name || strings.HasPrefix(name, m.name+".") })
}

// presentMetrics returns the metrics that at least one of the runs has. The metrics by kind come last.
func presentMetrics(runs []Run) []metric {
	var present []metric
	names := valueNames(runs)
	for _, m := range metrics {
		if slices.Contains(names, m.name) {
			present = append(present, m)
		}
	}
	for _, byKind := range metricsByKind {
		for _, name := range names {
			if strings.HasPrefix(name, byKind.name+".") {
				present = append(present, metric{byKind.role, name})
			}
		}
	}
	return present
}
