package raftlog

import (
	"crypto/rand"
	"encoding/json"
	"errors"

	bolt "go.etcd.io/bbolt"

	"brassdale/internal/decisions/voters"
)

// EnsureFounder returns the incarnation and the founding voters that are stored in a founding voter's file. If there is no file,
// it creates one with a new incarnation. The parameter foundingVoters has the incarnations, by voter ID, with which the raft
// group is founded. If it is not nil, EnsureFounder stores it first.
func EnsureFounder(directory string, voterID uint64, foundingVoters map[uint64]string) (founder voters.Founder, err error) {
	db, err := openFile(Path(directory, voterID))
	if err != nil {
		return founder, err
	}
	defer func() { err = errors.Join(err, db.Close()) }()
	err = db.Update(func(tx *bolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		if founder.Incarnation, err = ensureIncarnation(meta); err != nil {
			return err
		}
		if foundingVoters != nil {
			if err := putJSON(meta, foundingVotersKey, foundingVoters); err != nil {
				return err
			}
		}
		founder.FoundingVoters, err = readFoundingVoters(meta, voterID, founder.Incarnation)
		return err
	})
	return founder, err
}

// ensureIncarnation returns the file's incarnation, a random name, and stores a new one if it has none. A voter that lost its
// file therefore restarts with another incarnation.
func ensureIncarnation(meta *bolt.Bucket) (string, error) {
	if stored := meta.Get(incarnationKey); stored != nil {
		return string(stored), nil
	}
	created := rand.Text()
	return created, meta.Put(incarnationKey, []byte(created))
}

// readFoundingVoters returns the stored founding voters; nil before the founding. A file with a hard state and without
// founding voters was written by a build that did not store them; this voter then counts as the only founder.
func readFoundingVoters(meta *bolt.Bucket, voterID uint64, incarnation string) (foundingVoters map[uint64]string, err error) {
	if encoded := meta.Get(foundingVotersKey); encoded != nil {
		err = json.Unmarshal(encoded, &foundingVoters)
		return foundingVoters, err
	}
	if meta.Get(hardStateKey) != nil {
		return map[uint64]string{voterID: incarnation}, nil
	}
	return nil, nil
}

func putJSON(bucket *bolt.Bucket, key []byte, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return bucket.Put(key, encoded)
}
