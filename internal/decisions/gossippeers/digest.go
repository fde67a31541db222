package gossippeers

import "hash/fnv"

// hashMultiplier is 2^64 divided by the golden ratio. Hashes of similar names are far apart once multiplied by it.
const hashMultiplier = 0x9e3779b97f4a7c15

// Digest identifies a set of dispatchers by their names. Equal sets have equal digests; different sets almost never do.
type Digest struct {
	Count int    `json:"n"`
	Sum   uint64 `json:"s"` // of the names' hashes, so that the order of the names does not matter
}

// DigestOf returns the digest of distinct names.
func DigestOf(names []string) (digest Digest) {
	for _, name := range names {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(name)) // a hash accepts any bytes
		digest.Count++
		digest.Sum += hash.Sum64() * hashMultiplier
	}
	return digest
}
