package endpointcache

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"brassdale/internal/protocol"
	"brassdale/scheduler"
)

// FormatVersion is the form of snapshots that are written. The one before it is read too: it was a list in discovery's words
// and the time when it was made, with nothing learned.
const FormatVersion = 2

// CachedList is a list as it was kept: the last whole snapshot and what its journal adds.
type CachedList struct {
	Dispatcher    string                               `json:"dispatcher"`
	ConfirmedAtMS int64                                `json:"made_ms"` // Unix time at which it was last known to be true
	Revision      int64                                `json:"revision"`
	Discovery     string                               `json:"discovery"`
	Members       []CachedMember                       `json:"members"`
	Detached      []string                             `json:"out"`     // by hand
	Classes       map[string]scheduler.ClassStatistics `json:"classes"` // what was learned, by name
	Overcommit    float64                              `json:"allow"`
	MeanStay      float64                              `json:"stay"`
	MeanWork      float64                              `json:"mean"`
}

// CachedMember is a worker as it was known last.
type CachedMember struct {
	protocol.Member
	LastSignalMS int64                       `json:"heard_ms"` // Unix time of the last sign of life; 0 for none
	Statistics   *scheduler.WorkerStatistics `json:"learned,omitempty"`
}

// ConfirmedAt gives when the list was last known to be true.
func (s *CachedList) ConfirmedAt() time.Time { return time.UnixMilli(s.ConfirmedAtMS) }

// LearnedState gives what was learned, but for the classes, which are by name.
func (s *CachedList) LearnedState() scheduler.LearnedState {
	e := scheduler.LearnedState{Overcommit: s.Overcommit, MeanStay: s.MeanStay, MeanWork: s.MeanWork, Workers: map[scheduler.WorkerID]scheduler.WorkerStatistics{}}
	for _, m := range s.Members {
		if m.Statistics != nil {
			e.Workers[scheduler.WorkerID(m.ID)] = *m.Statistics
		}
	}
	return e
}

// List gives the members in discovery's words.
func (s *CachedList) List() *protocol.List {
	l := &protocol.List{Revision: s.Revision, Complete: true}
	for _, m := range s.Members {
		l.Members = append(l.Members, m.Member)
	}
	return l
}

// A snapshot is a line of text that names form, length and checksum, and a JSON document. Length and sum cover the line's
// version too, so that none of it can change unseen.
const snapshotMagic = "brassdale-saved-list"

var ErrDamaged = errors.New("damaged")

func encodeList(s *CachedList) ([]byte, error) {
	body, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	return encodeSnapshot(FormatVersion, body), nil
}

func encodeSnapshot(version int, body []byte) []byte {
	return append(fmt.Appendf(nil, "%s %d %d %016x\n", snapshotMagic, version, len(body), snapshotChecksum(version, body)), body...)
}

func snapshotChecksum(version int, body []byte) uint64 {
	h := xxhash.New()
	h.WriteString(strconv.Itoa(version) + " " + strconv.Itoa(len(body)) + "\n")
	h.Write(body)
	return h.Sum64()
}

// decodeSnapshot reads a snapshot. One byte of it that is not as it was written makes it an error.
func decodeSnapshot(text []byte) (*CachedList, error) {
	line, body, ok := bytes.Cut(text, []byte("\n"))
	parts := strings.Split(string(line), " ")
	if !ok || len(parts) != 4 || parts[0] != snapshotMagic {
		return nil, fmt.Errorf("%w: no snapshot", ErrDamaged)
	}
	version, err := strconv.Atoi(parts[1])
	if err != nil {
		return nil, fmt.Errorf("%w: version %q", ErrDamaged, parts[1])
	}
	if parts[1] != strconv.Itoa(version) || parts[2] != strconv.Itoa(len(body)) || parts[3] != fmt.Sprintf("%016x", snapshotChecksum(version, body)) {
		return nil, fmt.Errorf("%w: length or checksum", ErrDamaged)
	}
	read, ok := bodyDecoders[version]
	if !ok {
		return nil, fmt.Errorf("version %d is not known to this program", version)
	}
	s, err := read(body)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrDamaged, err)
	}
	return s, s.validate()
}

// bodyDecoders read each form that there was.
var bodyDecoders = map[int]func([]byte) (*CachedList, error){
	1: func(body []byte) (*CachedList, error) {
		var old struct {
			Dispatcher string        `json:"dispatcher"`
			MadeMS     int64         `json:"made_ms"`
			List       protocol.List `json:"list"`
		}
		if err := json.Unmarshal(body, &old); err != nil {
			return nil, err
		}
		s := &CachedList{Dispatcher: old.Dispatcher, ConfirmedAtMS: old.MadeMS, Revision: old.List.Revision}
		for _, m := range old.List.Members {
			s.Members = append(s.Members, CachedMember{Member: m})
		}
		return s, nil
	},
	2: func(body []byte) (*CachedList, error) {
		s := &CachedList{}
		return s, json.Unmarshal(body, s)
	},
}

// validate refuses what no process of this program wrote, whatever its sum.
func (s *CachedList) validate() error { return s.List().Check() }

// A journalRecord is a record of the journal: four bytes of length, eight of checksum, a JSON document. The sum covers the
// number of the record, so that none can stand in another's place.
type journalRecord struct {
	AtMS     int64             `json:"at_ms"`
	Revision int64             `json:"revision"`
	Members  []protocol.Member `json:"members,omitempty"`
	Detached *[]string         `json:"out,omitempty"` // all that are out by hand from now on
}

const (
	recordHeaderBytes = 12
	maxRecordBytes    = 16 << 20 // bytes; more is no record
)

func encodeRecord(n uint64, c *journalRecord) ([]byte, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	b := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, recordChecksum(n, body))
	return append(b, body...), nil
}

func recordChecksum(n uint64, body []byte) uint64 {
	h := xxhash.New()
	h.Write(binary.BigEndian.AppendUint64(nil, n))
	h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(body))))
	h.Write(body)
	return h.Sum64()
}

// decodeJournal reads a journal up to the first record that is not whole, and tells how many bytes that were.
func decodeJournal(text []byte) (changes []journalRecord, good int) {
	for n := uint64(0); ; n++ {
		rest := text[good:]
		if len(rest) < recordHeaderBytes {
			return changes, good
		}
		size := binary.BigEndian.Uint32(rest)
		if size > maxRecordBytes || int(size) > len(rest)-recordHeaderBytes {
			return changes, good
		}
		body := rest[recordHeaderBytes : recordHeaderBytes+int(size)]
		c := journalRecord{}
		if binary.BigEndian.Uint64(rest[4:]) != recordChecksum(n, body) || json.Unmarshal(body, &c) != nil ||
			(&protocol.List{Members: c.Members}).Check() != nil {
			return changes, good
		}
		changes, good = append(changes, c), good+recordHeaderBytes+int(size)
	}
}

// apply adds a change to a list.
func (s *CachedList) apply(c journalRecord) {
	s.ConfirmedAtMS, s.Revision = max(s.ConfirmedAtMS, c.AtMS), c.Revision
	at := map[string]int{}
	for i, m := range s.Members {
		at[m.ID] = i
	}
	for _, m := range c.Members {
		i, known := at[m.ID]
		if !known {
			at[m.ID] = len(s.Members)
			s.Members = append(s.Members, CachedMember{Member: m})
			continue
		}
		if m.HostPort == "" {
			m.HostPort = s.Members[i].HostPort
		}
		if m.UpSinceMS > s.Members[i].UpSinceMS { // started anew: nothing of it holds
			s.Members[i] = CachedMember{}
		}
		s.Members[i].Member = m
	}
	if c.Detached != nil {
		s.Detached = *c.Detached
	}
}
