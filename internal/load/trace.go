package load

import (
	"bufio"
	"bytes"
	_ "embed"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

//go:embed trace.schema.json
var traceSchema []byte

// compiledSchema returns the schema of a trace's records.
var compiledSchema = sync.OnceValues(func() (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(traceSchema))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("trace.schema.json", doc); err != nil {
		return nil, err
	}
	return c.Compile("trace.schema.json")
})

// maxTraceLineBytes bounds a line of a trace of JSON lines.
const maxTraceLineBytes = 1 << 20

// traceRecord is a line of a trace.
type traceRecord struct {
	AtMS    float64 `json:"at_ms"`
	Account string  `json:"account"`
	Subject string  `json:"subject"`
	Key     string  `json:"key"`
	Extra   string  `json:"extra"`
}

// ReadTrace reads a recorded trace, either "csv" with a line of column names or "jsonl", to its end. The error names the line of the first
// mistake. If accounts are given, a record's account must be one of them. Gaps in time are not shortened.
func ReadTrace(in io.Reader, format string, accounts []Account) ([]Job, error) {
	known := map[string]bool{}
	for _, account := range accounts {
		known[account.Name] = true
	}
	var jobs []Job
	add := func(line int, record traceRecord) error {
		at := time.Duration(record.AtMS * float64(time.Millisecond))
		if count := len(jobs); count > 0 && at < jobs[count-1].At {
			return fmt.Errorf("line %d: at_ms %v is before the %v of the line before", line, record.AtMS, float64(jobs[count-1].At)/float64(time.Millisecond))
		}
		if len(known) > 0 && !known[record.Account] {
			return fmt.Errorf("line %d: unknown account %q", line, record.Account)
		}
		jobs = append(jobs, Job{At: at, Account: record.Account, Subject: record.Subject, Key: record.Key, Extra: record.Extra})
		return nil
	}
	var err error
	switch format {
	case "csv":
		err = readCSV(in, add)
	case "jsonl":
		err = readJSONLines(in, add)
	default:
		return nil, fmt.Errorf("unknown trace format %q: expected csv or jsonl", format)
	}
	if err == nil && len(jobs) == 0 {
		err = errors.New("the trace has no job")
	}
	if err != nil {
		return nil, err
	}
	return jobs, nil
}

// validate checks a record, decoded from JSON or made from CSV, against the schema. The error has the first cause only.
func validate(document any) error {
	schema, err := compiledSchema()
	if err != nil {
		return err
	}
	err = schema.Validate(document)
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err
	}
	for len(invalid.Causes) > 0 {
		invalid = invalid.Causes[0]
	}
	location := strings.Join(invalid.InstanceLocation, ".")
	if location != "" {
		location += ": "
	}
	_, reason, _ := strings.Cut(invalid.Error(), ": ")
	if i := strings.LastIndexByte(reason, '\n'); i >= 0 {
		reason = reason[i+1:]
	}
	return errors.New(location + strings.TrimSpace(reason))
}

// readJSONLines calls add with each line's number and record. Empty lines are skipped.
func readJSONLines(in io.Reader, add func(int, traceRecord) error) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 0, 4096), maxTraceLineBytes)
	number := 0
	for lines.Scan() {
		number++
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			continue
		}
		document, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
		if err == nil {
			err = validate(document)
		}
		var record traceRecord
		if err == nil {
			err = json.Unmarshal(text, &record)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if err := add(number, record); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("line %d: %w", number+1, err)
	}
	return nil
}

// readCSV calls add with each line's number and record, after the line of column names.
func readCSV(in io.Reader, add func(int, traceRecord) error) error {
	reader := csv.NewReader(in)
	reader.ReuseRecord = true
	columns, err := reader.Read()
	if err != nil {
		return fmt.Errorf("line 1: %w", err)
	}
	columns = slices.Clone(columns)
	for {
		fields, err := reader.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		line, _ := reader.FieldPos(0)
		if err != nil {
			return err // names the line itself
		}
		record, err := parseFields(columns, fields)
		if err != nil {
			return fmt.Errorf("line %d: %w", line, err)
		}
		if err := add(line, record); err != nil {
			return err
		}
	}
}

// parseFields returns the record of a line's fields. Empty fields count as absent.
func parseFields(columns, fields []string) (traceRecord, error) {
	document := map[string]any{} // for the schema, as a JSON object
	for i, column := range columns {
		if fields[i] == "" {
			continue
		}
		document[column] = fields[i]
		if column == "at_ms" {
			milliseconds, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return traceRecord{}, fmt.Errorf("at_ms: expected a number, got %q", fields[i])
			}
			document[column] = milliseconds
		}
	}
	if err := validate(document); err != nil {
		return traceRecord{}, err
	}
	text := func(column string) string {
		value, _ := document[column].(string) // empty where it is absent
		return value
	}
	at, _ := document["at_ms"].(float64) // the schema requires it
	return traceRecord{at, text("account"), text("subject"), text("key"), text("extra")}, nil
}

// Recorded returns the jobs of a trace.
func Recorded(jobs []Job) Source { return &recordedJobs{jobs} }

// recordedJobs is the source of a trace.
type recordedJobs struct{ jobs []Job }

// Next implements Source.
func (r *recordedJobs) Next() (Job, bool) {
	if len(r.jobs) == 0 {
		return Job{}, false
	}
	job := r.jobs[0]
	r.jobs = r.jobs[1:]
	return job, true
}
