package protocol

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"brassdale/internal/routing"
)

// EncodeMetrics returns the metrics in the format of the admin API: one name=value a line.
func EncodeMetrics(metrics routing.Metrics) string {
	var lines strings.Builder
	for _, name := range slices.Sorted(maps.Keys(metrics.Classes)) {
		counts := metrics.Classes[name]
		fmt.Fprintf(&lines, "replies.%[1]s.success=%[2]d\nreplies.%[1]s.overload=%[3]d\nreplies.%[1]s.error=%[4]d\n", name, counts.Served, counts.Rejected, counts.Failed)
	}
	fmt.Fprintf(&lines, "failed_unsent=%d\n", metrics.FailedUnsent)
	fmt.Fprintf(&lines, "dispatches=%d\nconcurrent=%d\ntargets=%d\ntargets_disabled=%d\nreload_success=%d\nreload_failure=%d\n",
		metrics.AttemptsSent, metrics.OpenRequests, metrics.ListedEndpoints, metrics.AvoidedEndpoints, metrics.ReloadsApplied, metrics.ReloadsRejected)
	fmt.Fprintf(&lines, "discovery_calls=%d\ndiscovery_overlaps=%d\ndiscovery_failures=%d\n", metrics.DiscoveryCalls, metrics.DiscoveryOverlaps, metrics.DiscoveryFailures)
	fmt.Fprintf(&lines, "discovery_refused=%d\ndiscovery_expired=%d\n", metrics.DiscoveryRejected, metrics.DiscoveryExpired)
	return lines.String()
}
