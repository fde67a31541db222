package endpointcache

import (
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strconv"
	"strings"
)

// The prefixes of file names. The number of the generation follows in hexadecimal.
const (
	snapshotPrefix = "snapshot-"
	journalPrefix  = "journal-"
	damagedPrefix  = "damaged-" // before the name of a file of a damaged generation
)

// generationDigits is how many hexadecimal digits the number of a generation has in a file name.
const generationDigits = 16

// Generation is a generation as read from its files.
type Generation struct {
	Number    uint64
	List      *CachedList // nil if the snapshot cannot be used
	Err       error       // why the snapshot cannot be used, or the journal cannot be read
	Records   int         // intact records in the journal
	TornBytes int         // bytes in the journal after its last intact record
}

// Generations returns all generations, the newest first. An error means that the directory cannot be read.
func (s *Store) Generations() ([]Generation, error) {
	names, err := s.files.Names()
	if err != nil {
		return nil, err
	}
	var found []Generation
	for _, name := range names {
		if number, ok := generationNumber(name, snapshotPrefix); ok {
			found = append(found, s.readGeneration(number))
		}
	}
	slices.SortFunc(found, func(a, b Generation) int {
		if a.Number < b.Number {
			return 1
		}
		return -1
	})
	return found, nil
}

// readGeneration reads a snapshot and its journal, if there is one.
func (s *Store) readGeneration(number uint64) Generation {
	generation := Generation{Number: number}
	if generation.List, generation.Err = s.readSnapshot(number); generation.Err != nil {
		return generation
	}
	journal, err := s.files.Read(fileName(journalPrefix, number))
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			generation.Err = err
		}
		return generation
	}
	records, intactBytes := decodeJournal(journal)
	for _, record := range records {
		generation.List.apply(record)
	}
	generation.Records, generation.TornBytes = len(records), len(journal)-intactBytes
	return generation
}

// readSnapshot reads the snapshot of a generation.
func (s *Store) readSnapshot(number uint64) (*CachedList, error) {
	text, err := s.files.Read(fileName(snapshotPrefix, number))
	if err != nil {
		return nil, err
	}
	list, err := decodeSnapshot(text)
	if err != nil {
		return nil, err
	}
	if list.Dispatcher != s.dispatcher {
		return nil, OtherDispatcherError{Dispatcher: list.Dispatcher}
	}
	return list, nil
}

// fileName returns the name of a file of a generation.
func fileName(prefix string, number uint64) string {
	return fmt.Sprintf("%s%0*x", prefix, generationDigits, number)
}

// generationNumber returns the number of the generation in a file name. ok is false unless the name is the prefix and a number.
func generationNumber(name, prefix string) (number uint64, ok bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok || len(digits) != generationDigits {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil
}
