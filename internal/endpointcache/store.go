package endpointcache

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

const (
	// retainedGenerations is how many generations are retained after a snapshot is written.
	retainedGenerations = 3

	// retainedDamaged is how many damaged generations are retained for inspection.
	retainedDamaged = 4
)

// Store is a dispatcher's directory of generations. It is not safe for concurrent use.
type Store struct {
	files      Files
	dispatcher string

	currentGeneration uint64 // the generation that this store writes; 0 before the first snapshot
	journalRecords    uint64 // records in its journal
	journalTorn       bool   // its journal may end in a partial record, after which nothing may be written
}

// NewStore returns the store of the dispatcher with this name.
func NewStore(files Files, dispatcher string) *Store {
	return &Store{files: files, dispatcher: dispatcher}
}

// Load returns the list of the newest generation whose snapshot is intact, or nil if there is none. It renames damaged generations. faults
// describes each fault that it found.
func (s *Store) Load() (list *CachedList, faults []string) {
	found, err := s.Generations()
	if err != nil {
		return nil, []string{err.Error()}
	}
	for _, generation := range found {
		if generation.Err != nil {
			faults = append(faults, fmt.Sprintf("generation %d: %v", generation.Number, generation.Err))
		}
		if generation.List == nil && errors.Is(generation.Err, ErrDamaged) {
			s.renameDamaged(generation.Number)
		}
		if generation.TornBytes > 0 {
			faults = append(faults, fmt.Sprintf("generation %d: the journal ends in %d bytes that are not an intact record", generation.Number, generation.TornBytes))
		}
		if generation.List != nil && list == nil {
			list = generation.List
		}
	}
	return list, faults
}

// renameDamaged renames a damaged generation, and removes all but the newest retainedDamaged of the renamed generations. Errors are ignored:
// the files are for inspection only, and there may be no journal.
func (s *Store) renameDamaged(number uint64) {
	for _, prefix := range []string{snapshotPrefix, journalPrefix} {
		name := fileName(prefix, number)
		_ = s.files.Rename(name, damagedPrefix+name)
	}
	names, err := s.files.Names()
	if err != nil {
		return
	}
	var damaged []string // in ascending order of their numbers, because Names sorts
	for _, name := range names {
		if strings.HasPrefix(name, damagedPrefix+snapshotPrefix) {
			damaged = append(damaged, name)
		}
	}
	for _, name := range damaged[:max(len(damaged)-retainedDamaged, 0)] {
		_ = s.files.Remove(name)
		_ = s.files.Remove(damagedPrefix + journalPrefix + strings.TrimPrefix(name, damagedPrefix+snapshotPrefix))
	}
}

// Snapshot begins a generation with a list. The number of the generation is higher than any that this store wrote or that a file has, since
// another process with the same dispatcher name may write to the directory.
func (s *Store) Snapshot(list *CachedList) error {
	list.Dispatcher = s.dispatcher
	text, err := encodeList(list)
	if err != nil {
		return err
	}
	names, err := s.files.Names()
	if err != nil {
		return err
	}
	next := s.lastNumber(names) + 1
	if err := s.files.Replace(fileName(snapshotPrefix, next), text); err != nil {
		return err
	}
	s.currentGeneration, s.journalRecords, s.journalTorn = next, 0, false
	_, _ = s.Prune(retainedGenerations) // files that cannot be removed now are removed after a later snapshot
	return nil
}

// lastNumber returns the highest number of a generation that this store wrote or that has a file.
func (s *Store) lastNumber(names []string) uint64 {
	last := s.currentGeneration
	for _, name := range names {
		name = strings.TrimPrefix(name, damagedPrefix)
		for _, prefix := range []string{snapshotPrefix, journalPrefix} {
			if number, ok := generationNumber(name, prefix); ok {
				last = max(last, number)
			}
		}
	}
	return last
}

// Append adds a record to the journal of the current generation. The record is on disk when Append returns. After an error, Append fails
// until the next Snapshot.
func (s *Store) Append(record *journalRecord) error {
	if s.currentGeneration == 0 || s.journalTorn {
		return errNoGeneration
	}
	encoded, err := encodeRecord(s.journalRecords, record)
	if err != nil {
		return err
	}
	if err := s.files.Append(fileName(journalPrefix, s.currentGeneration), encoded); err != nil {
		s.journalTorn = true
		return err
	}
	s.journalRecords++
	return nil
}

// Prune removes the files of all generations except the newest ones, of which the parameter retained is the number, and returns the
// number of files removed.
func (s *Store) Prune(retained int) (removed int, err error) {
	names, err := s.files.Names()
	if err != nil {
		return 0, err
	}
	var numbers []uint64
	for _, name := range names {
		if number, ok := generationNumber(name, snapshotPrefix); ok {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	if len(numbers) <= retained {
		return 0, nil
	}
	oldest := numbers[len(numbers)-retained]
	for _, name := range names {
		number, ok := generationNumber(name, snapshotPrefix)
		if !ok {
			number, ok = generationNumber(name, journalPrefix)
		}
		if !ok || number >= oldest {
			continue
		}
		if removeErr := s.files.Remove(name); removeErr != nil {
			err = errors.Join(err, removeErr)
			continue
		}
		removed++
	}
	return removed, err
}
