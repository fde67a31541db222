package zonerouting

import (
	"time"

	"brassdale/scheduler"
)

// sweepInterval is the minimum time between two removals of expired keys.
const sweepInterval = time.Second

// keyZones stores the zone that was chosen for each idempotency key, until the key's deduplication window ends.
type keyZones struct {
	zones   map[uint64]keyZone // by hash of the key
	sweptAt scheduler.Instant
}

// keyZone is the zone of a key, valid until expiry.
type keyZone struct {
	zone   string
	expiry scheduler.Instant
}

// get returns the zone of a key by its hash. A hash of 0 stands for no key.
func (k *keyZones) get(hash uint64, now scheduler.Instant) (zone string, ok bool) {
	if hash == 0 {
		return "", false
	}
	entry, ok := k.zones[hash]
	return entry.zone, ok && now < entry.expiry
}

// add stores the zone of a key by its hash. A hash of 0 is ignored.
func (k *keyZones) add(hash uint64, zone string, expiry scheduler.Instant) {
	if hash != 0 {
		k.zones[hash] = keyZone{zone, expiry}
	}
}

// sweep removes expired keys, at most once per sweepInterval.
func (k *keyZones) sweep(now scheduler.Instant) {
	if now-k.sweptAt <= sweepInterval {
		return
	}
	k.sweptAt = now
	for hash, entry := range k.zones {
		if now >= entry.expiry {
			delete(k.zones, hash)
		}
	}
}
