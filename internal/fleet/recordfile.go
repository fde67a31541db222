package fleet

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"

	"github.com/google/renameio/v2"

	"brassdale/internal/decisions/configversions"
)

// recordFile returns the path of the file in which a dispatcher stores the record that it knows, for its next process.
func (a *Agent) recordFile() string { return filepath.Join(a.settings.Directory, "known.json") }

// loadRecord returns the stored record. It returns an empty record if none is stored or the stored one cannot be read: without a
// lease, a record only restricts what the dispatcher does.
func (a *Agent) loadRecord() (record configversions.Record) {
	text, err := os.ReadFile(a.recordFile())
	if err == nil {
		err = json.Unmarshal(text, &record)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		a.log.Warn("stored record not read", "err", err)
		return configversions.Record{}
	}
	return record
}

// saveRecord stores the record without its history. It only logs a failure, because the dispatcher can run without a stored
// record.
func (a *Agent) saveRecord(record configversions.Record) {
	text, err := json.Marshal(record.WithoutHistory())
	if err == nil {
		err = renameio.WriteFile(a.recordFile(), text, 0o600)
	}
	if err != nil {
		a.log.Warn("record not stored", "err", err)
	}
}
