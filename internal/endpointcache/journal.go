package endpointcache

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"brassdale/internal/protocol"
)

// journalRecord is a change of the list. It is stored as its length (4 bytes), a checksum (8 bytes) and a JSON document. The checksum
// covers the index of the record in the journal, so that a record at another position is rejected.
type journalRecord struct {
	AtMS     int64             `json:"at_ms"` // Unix time at which the list was last known to be current
	Revision int64             `json:"revision"`
	Members  []protocol.Member `json:"members,omitempty"` // the workers that changed
	Detached *[]string         `json:"out,omitempty"`     // all workers that the operator has detached; nil for no change
}

const (
	recordLengthBytes = 4
	recordHeaderBytes = recordLengthBytes + 8
	maxRecordBytes    = 16 << 20 // a greater length means that the record is damaged
)

// encodeRecord returns the bytes of a record at an index of the journal.
func encodeRecord(index uint64, record *journalRecord) ([]byte, error) {
	body, err := json.Marshal(record)
	if err != nil {
		return nil, err
	}
	encoded := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	encoded = binary.BigEndian.AppendUint64(encoded, recordChecksum(index, body))
	return append(encoded, body...), nil
}

// recordChecksum returns the checksum of a record.
func recordChecksum(index uint64, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, index)) // a digest returns no error
	_, _ = digest.Write(binary.BigEndian.AppendUint32(nil, uint32(len(body))))
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// decodeJournal reads a journal up to the first record that is not intact, and returns the number of bytes before that record.
func decodeJournal(journal []byte) (records []journalRecord, intactBytes int) {
	for index := uint64(0); ; index++ {
		record, size, ok := decodeRecord(index, journal[intactBytes:])
		if !ok {
			return records, intactBytes
		}
		records, intactBytes = append(records, record), intactBytes+size
	}
}

// decodeRecord reads the record at the beginning of data, and returns its size in bytes. ok is false unless the record is intact.
func decodeRecord(index uint64, data []byte) (record journalRecord, size int, ok bool) {
	if len(data) < recordHeaderBytes {
		return record, 0, false
	}
	length := binary.BigEndian.Uint32(data)
	if length > maxRecordBytes || int(length) > len(data)-recordHeaderBytes {
		return record, 0, false
	}
	size = recordHeaderBytes + int(length)
	body := data[recordHeaderBytes:size]
	if binary.BigEndian.Uint64(data[recordLengthBytes:]) != recordChecksum(index, body) || json.Unmarshal(body, &record) != nil {
		return record, 0, false
	}
	return record, size, (&protocol.List{Members: record.Members}).Check() == nil
}
