package endpointcache

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"brassdale/internal/protocol"
)

// FormatVersion is the format version of the snapshots that are written. Version 1 can be read too: it has a list in the protocol of
// discovery and the time when the list was made, without statistics.
const FormatVersion = 2

// snapshotMagic is the first word of a snapshot. A snapshot is a line of text and a JSON document; the line has the magic word, the
// format version, the length of the document and a checksum. The checksum covers the version and the length too.
const snapshotMagic = "brassdale-saved-list"

// encodeList returns the snapshot of a list.
func encodeList(list *CachedList) ([]byte, error) {
	body, err := json.Marshal(list)
	if err != nil {
		return nil, err
	}
	return encodeSnapshot(FormatVersion, body), nil
}

// encodeSnapshot puts the first line before a JSON document.
func encodeSnapshot(version int, body []byte) []byte {
	return append(fmt.Appendf(nil, "%s %d %d %016x\n", snapshotMagic, version, len(body), snapshotChecksum(version, body)), body...)
}

// snapshotChecksum returns the checksum of a snapshot.
func snapshotChecksum(version int, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(strconv.Itoa(version) + " " + strconv.Itoa(len(body)) + "\n") // a digest returns no error
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// decodeSnapshot reads a snapshot. The error is ErrDamaged if any byte differs from the bytes that were written, and an
// UnknownVersionError if the snapshot is intact but has an unknown version.
func decodeSnapshot(text []byte) (*CachedList, error) {
	line, body, ok := bytes.Cut(text, []byte("\n"))
	parts := strings.Split(string(line), " ")
	if !ok || len(parts) != 4 || parts[0] != snapshotMagic {
		return nil, fmt.Errorf("%w: not a snapshot", ErrDamaged)
	}
	version, err := strconv.Atoi(parts[1])
	if err != nil {
		return nil, fmt.Errorf("%w: invalid version %q", ErrDamaged, parts[1])
	}
	if parts[1] != strconv.Itoa(version) || parts[2] != strconv.Itoa(len(body)) || parts[3] != fmt.Sprintf("%016x", snapshotChecksum(version, body)) {
		return nil, fmt.Errorf("%w: length or checksum does not match", ErrDamaged)
	}
	decodeBody, ok := bodyDecoders[version]
	if !ok {
		return nil, UnknownVersionError{Version: version}
	}
	list, err := decodeBody(body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return list, list.validate()
}

// bodyDecoders decode the JSON document of each format version.
var bodyDecoders = map[int]func([]byte) (*CachedList, error){
	1: decodeBodyV1,
	2: decodeBodyV2,
}

func decodeBodyV1(body []byte) (*CachedList, error) {
	var stored struct {
		Dispatcher string        `json:"dispatcher"`
		MadeMS     int64         `json:"made_ms"`
		List       protocol.List `json:"list"`
	}
	if err := json.Unmarshal(body, &stored); err != nil {
		return nil, err
	}
	list := &CachedList{Dispatcher: stored.Dispatcher, ConfirmedAtMS: stored.MadeMS, Revision: stored.List.Revision}
	for _, member := range stored.List.Members {
		list.Members = append(list.Members, CachedMember{Member: member})
	}
	return list, nil
}

func decodeBodyV2(body []byte) (*CachedList, error) {
	list := &CachedList{}
	return list, json.Unmarshal(body, list)
}
