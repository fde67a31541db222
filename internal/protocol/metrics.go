package protocol

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"brassdale/internal/routing"
)

// EncodeMetrics writes the numbers as operators' tools read them, a line each.
func EncodeMetrics(f routing.Metrics) string {
	var b strings.Builder
	for _, name := range slices.Sorted(maps.Keys(f.Classes)) {
		t := f.Classes[name]
		fmt.Fprintf(&b, "replies.%[1]s.success=%[2]d\nreplies.%[1]s.overload=%[3]d\nreplies.%[1]s.error=%[4]d\n", name, t.Served, t.Rejected, t.Failed)
	}
	fmt.Fprintf(&b, "failed_unsent=%d\n", f.FailedUnsent)
	fmt.Fprintf(&b, "dispatches=%d\nconcurrent=%d\ntargets=%d\ntargets_disabled=%d\nreload_success=%d\nreload_failure=%d\n",
		f.AttemptsSent, f.OpenRequests, f.ListedEndpoints, f.AvoidedEndpoints, f.ReloadsApplied, f.ReloadsRejected)
	fmt.Fprintf(&b, "discovery_calls=%d\ndiscovery_overlaps=%d\ndiscovery_failures=%d\n", f.DiscoveryCalls, f.DiscoveryOverlaps, f.DiscoveryFailures)
	fmt.Fprintf(&b, "discovery_refused=%d\ndiscovery_expired=%d\n", f.DiscoveryRejected, f.DiscoveryExpired)
	return b.String()
}
