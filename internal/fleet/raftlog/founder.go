package raftlog

import (
	"crypto/rand"
	"encoding/json"
	"errors"

	bolt "go.etcd.io/bbolt"

	"brassdale/internal/decisions/voters"
)

// EnsureFounder reads what the file of a founding voter says of the founding, and creates the file, with an incarnation of its
// own, where there is none. foundingVoters, where not nil, are the incarnations with which the raft group is founded; they
// are on file from then on.
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

// ensureIncarnation returns the name that a file was given when it was created, and gives it one where it has none. A voter that
// lost its file comes back with another ensureIncarnation.
func ensureIncarnation(meta *bolt.Bucket) (string, error) {
	if stored := meta.Get(incarnationKey); stored != nil {
		return string(stored), nil
	}
	created := rand.Text()
	return created, meta.Put(incarnationKey, []byte(created))
}

// readFoundingVoters returns the founding voters on file; nil before the founding. A file that has a hard state and no
// founding voters is of a build that did not write them, and counts as founded by this voter.
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
