package canary

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"time"
)

// maxMinDuration is the longest MinDuration that Check accepts.
const maxMinDuration = 24 * time.Hour

// Rollout limits an announced version to a share of the dispatchers, the canary, for a time. The canary acts on the stricter of
// the version and the one in force, like all dispatchers after an announcement without a canary; the others ignore the version.
// So a canary tests what the version restricts in addition, but not what it permits in addition.
type Rollout struct {
	Share         float64       `json:"share"`  // of the dispatchers, above 0 and at most 1
	MinDuration   time.Duration `json:"for"`    // the minimum time before the canary can pass
	FailureMargin float64       `json:"margin"` // by which the canary's failure rate may exceed the others', from 0 to 1
}

// Check returns an error that says which field is invalid. A nil Rollout, which includes all dispatchers, is valid.
func (r *Rollout) Check() error {
	switch {
	case r == nil:
	case !(r.Share > 0 && r.Share <= 1):
		return errors.New("a trial's share must be above 0 and at most 1")
	case r.MinDuration <= 0 || r.MinDuration > maxMinDuration:
		return errors.New("a trial must last for more than nothing and a day at the most")
	case !(r.FailureMargin >= 0 && r.FailureMargin <= 1):
		return errors.New("a trial's margin must be from 0 to 1")
	}
	return nil
}

// Includes reports whether the dispatcher with the given name belongs to the canary of a version. Each version has a different
// canary.
// A nil Rollout includes every dispatcher.
func (r *Rollout) Includes(name string, version uint64) bool {
	if r == nil {
		return true
	}
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s %d", name, version) // writing to a hash never fails
	return float64(mix(hash.Sum64()))/math.MaxUint64 < r.Share
}

// mix spreads a difference in the low bits over all bits, because the FNV hashes of names that differ only in the last letter
// differ only in the low bits. It is a part of the finalizer of MurmurHash3.
func mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	return hash
}
