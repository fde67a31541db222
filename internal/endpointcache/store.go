// Package endpointcache keeps the list of workers on disk, for a start while nobody can be asked for it: generations, each
// a snapshot that is replaced whole and a journal of what came behind it. Whether and how far such a list is trusted is
// decided in internal/decisions/savedlist; here it is only kept and read, damaged as it may be.
package endpointcache

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strconv"
	"strings"
)

const (
	snapshotPrefix = "snapshot-" // and the generation's number in hexadecimal
	journalPrefix  = "journal-"
	damagedPrefix  = "damaged-" // put before the name of a file that is kept aside

	retainedGenerations = 3
	retainedDamaged     = 4
)

// Store is a dispatcher's part of the folder. It is of one goroutine.
type Store struct {
	files      Files
	dispatcher string

	currentGeneration uint64 // that is written; 0 for none
	journalRecords    uint64 // in its journal
	journalTorn       bool   // its journal may end in a part of a record: nothing more may follow there
}

// NewStore makes a store on files.
func NewStore(files Files, dispatcher string) *Store {
	return &Store{files: files, dispatcher: dispatcher}
}

// Generation is one generation as it was found.
type Generation struct {
	Number    uint64
	List      *CachedList // nil where it is damaged
	Err       error       // why
	Records   int         // of the journal that were whole
	TornBytes int         // bytes behind them
}

// Generations reads all that there are, the newest first. Its error tells that the folder cannot be read.
func (s *Store) Generations() ([]Generation, error) {
	names, err := s.files.Names()
	if err != nil {
		return nil, err
	}
	var found []Generation
	for _, name := range names {
		number, ok := generationNumber(name, snapshotPrefix)
		if !ok {
			continue
		}
		g := Generation{Number: number}
		text, err := s.files.Read(name)
		if err == nil {
			g.List, err = decodeSnapshot(text)
		}
		if err == nil && g.List.Dispatcher != s.dispatcher {
			err = fmt.Errorf("it is of dispatcher %q", g.List.Dispatcher)
		}
		if err != nil {
			g.List, g.Err = nil, err
			found = append(found, g)
			continue
		}
		if text, err := s.files.Read(fileName(journalPrefix, number)); err == nil {
			changes, good := decodeJournal(text)
			for _, c := range changes {
				g.List.apply(c)
			}
			g.Records, g.TornBytes = len(changes), len(text)-good
		} else if !errors.Is(err, fs.ErrNotExist) {
			g.Err = err
		}
		found = append(found, g)
	}
	slices.SortFunc(found, func(a, b Generation) int {
		if a.Number < b.Number {
			return 1
		}
		return -1
	})
	return found, nil
}

// Load gives the newest generation that is whole; nil where there is none. Those that are not are kept aside. What was
// found wrong is in notes, a line each.
func (s *Store) Load() (saved *CachedList, notes []string) {
	found, err := s.Generations()
	if err != nil {
		return nil, []string{err.Error()}
	}
	for _, g := range found {
		if g.Err != nil {
			notes = append(notes, fmt.Sprintf("generation %d: %v", g.Number, g.Err))
		}
		if g.List == nil && errors.Is(g.Err, ErrDamaged) {
			s.setAside(g.Number)
		}
		if g.TornBytes > 0 {
			notes = append(notes, fmt.Sprintf("generation %d: the journal ends in %d bytes that are no record", g.Number, g.TornBytes))
		}
		if g.List != nil && saved == nil {
			saved = g.List
		}
	}
	return saved, notes
}

// setAside keeps a damaged generation for inspection, and drops the oldest of those.
func (s *Store) setAside(n uint64) {
	for _, kind := range []string{snapshotPrefix, journalPrefix} {
		name := fileName(kind, n)
		_ = s.files.Rename(name, damagedPrefix+name) // the journal may not be there
	}
	names, err := s.files.Names()
	if err != nil {
		return
	}
	var aside []string
	for _, name := range names { // by kind, then by number
		if strings.HasPrefix(name, damagedPrefix+snapshotPrefix) {
			aside = append(aside, name)
		}
	}
	for _, name := range aside[:max(len(aside)-retainedDamaged, 0)] {
		_ = s.files.Remove(name)
		_ = s.files.Remove(damagedPrefix + journalPrefix + strings.TrimPrefix(name, damagedPrefix+snapshotPrefix))
	}
}

// Snapshot begins a generation. Another process of the same name may write beside this one: each generation has a
// number that no file had.
func (s *Store) Snapshot(saved *CachedList) error {
	saved.Dispatcher = s.dispatcher
	text, err := encodeList(saved)
	if err != nil {
		return err
	}
	names, err := s.files.Names()
	if err != nil {
		return err
	}
	last := s.currentGeneration
	for _, name := range names {
		name = strings.TrimPrefix(name, damagedPrefix)
		for _, kind := range []string{snapshotPrefix, journalPrefix} {
			if n, ok := generationNumber(name, kind); ok {
				last = max(last, n)
			}
		}
	}
	if err := s.files.Replace(fileName(snapshotPrefix, last+1), text); err != nil {
		return err
	}
	s.currentGeneration, s.journalRecords, s.journalTorn = last+1, 0, false
	_, _ = s.Prune(retainedGenerations)
	return nil
}

// errNoGeneration tells that a change has no snapshot to follow.
var errNoGeneration = errors.New("no generation to add to")

// Append puts a change behind the generation. It is on disk when this returns. After an error only a snapshot helps.
func (s *Store) Append(c *journalRecord) error {
	if s.currentGeneration == 0 || s.journalTorn {
		return errNoGeneration
	}
	record, err := encodeRecord(s.journalRecords, c)
	if err != nil {
		return err
	}
	if err := s.files.Append(fileName(journalPrefix, s.currentGeneration), record); err != nil {
		s.journalTorn = true
		return err
	}
	s.journalRecords++
	return nil
}

// Prune removes all but the newest generations that are whole, and what is left of older ones. It tells how many files
// it removed.
func (s *Store) Prune(keep int) (removed int, err error) {
	names, err := s.files.Names()
	if err != nil {
		return 0, err
	}
	var numbers []uint64
	for _, name := range names {
		if n, ok := generationNumber(name, snapshotPrefix); ok {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	if len(numbers) <= keep {
		return 0, nil
	}
	oldest := numbers[len(numbers)-keep]
	for _, name := range names {
		n, ok := generationNumber(name, snapshotPrefix)
		if !ok {
			n, ok = generationNumber(name, journalPrefix)
		}
		if ok && n < oldest {
			if e := s.files.Remove(name); e != nil {
				err = errors.Join(err, e)
				continue
			}
			removed++
		}
	}
	return removed, err
}

func fileName(kind string, n uint64) string { return fmt.Sprintf("%s%016x", kind, n) }

// generationNumber gives the generation of a file of a kind.
func generationNumber(name, kind string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, kind)
	if !ok || len(digits) != 16 {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 16, 64)
	return n, err == nil
}
