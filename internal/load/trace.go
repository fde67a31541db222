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
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/santhosh-tekuri/jsonschema/v6"
)

//go:embed trace.schema.json
var traceSchema []byte

var schema = sync.OnceValues(func() (*jsonschema.Schema, error) {
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

// maxTrace bounds what is read of one line.
const maxTrace = 1 << 20

// record is a line of a trace.
type record struct {
	AtMS    float64 `json:"at_ms"`
	Account string  `json:"account"`
	Subject string  `json:"subject"`
	Key     string  `json:"key"`
	Extra   string  `json:"extra"`
}

// ReadTrace reads a recorded trace, CSV with a head line or JSON lines, whole: a fault anywhere is found before anything is
// sent, and named with its line. accounts are those that there are; none for any. Gaps are as they are in the trace.
func ReadTrace(in io.Reader, format string, accounts []Account) ([]Job, error) {
	known := map[string]bool{}
	for _, a := range accounts {
		known[a.Name] = true
	}
	var jobs []Job
	add := func(line int, r record) error {
		at := time.Duration(r.AtMS * float64(time.Millisecond))
		if n := len(jobs); n > 0 && at < jobs[n-1].At {
			return fmt.Errorf("line %d: at_ms %v is before the %v of the line before", line, r.AtMS, float64(jobs[n-1].At)/float64(time.Millisecond))
		}
		if len(known) > 0 && !known[r.Account] {
			return fmt.Errorf("line %d: unknown account %q", line, r.Account)
		}
		jobs = append(jobs, Job{At: at, Account: r.Account, Subject: r.Subject, Key: r.Key, Work: r.Extra})
		return nil
	}
	var err error
	switch format {
	case "csv":
		err = readCSV(in, add)
	case "jsonl":
		err = readLines(in, add)
	default:
		return nil, fmt.Errorf("there is no trace format %q; there are csv and jsonl", format)
	}
	if err == nil && len(jobs) == 0 {
		err = errors.New("the trace has no job")
	}
	if err != nil {
		return nil, err
	}
	return jobs, nil
}

// check holds a record against the schema: the same for both formats.
func check(doc any) error {
	s, err := schema()
	if err != nil {
		return err
	}
	err = s.Validate(doc)
	var bad *jsonschema.ValidationError
	if errors.As(err, &bad) {
		for len(bad.Causes) > 0 {
			bad = bad.Causes[0]
		}
		where := strings.Join(bad.InstanceLocation, ".")
		if where != "" {
			where += ": "
		}
		_, why, _ := strings.Cut(bad.Error(), ": ")
		if i := strings.LastIndexByte(why, '\n'); i >= 0 {
			why = why[i+1:]
		}
		return errors.New(where + strings.TrimSpace(why))
	}
	return err
}

func readLines(in io.Reader, add func(int, record) error) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 0, 4096), maxTrace)
	n := 0
	for lines.Scan() {
		n++
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 {
			continue
		}
		doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
		if err == nil {
			err = check(doc)
		}
		var r record
		if err == nil {
			err = json.Unmarshal(text, &r)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if err := add(n, r); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("line %d: %w", n+1, err)
	}
	return nil
}

func readCSV(in io.Reader, add func(int, record) error) error {
	r := csv.NewReader(in)
	r.ReuseRecord = true
	head, err := r.Read()
	if err != nil {
		return fmt.Errorf("line 1: %w", err)
	}
	head = append([]string(nil), head...)
	for {
		fields, err := r.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		line, _ := r.FieldPos(0)
		if err != nil {
			return err // it names the line itself
		}
		doc := map[string]any{}
		for i, name := range head {
			if fields[i] == "" {
				continue
			}
			doc[name] = fields[i]
			if name == "at_ms" {
				x, err := strconv.ParseFloat(fields[i], 64)
				if err != nil {
					return fmt.Errorf("line %d: at_ms: %q is no number", line, fields[i])
				}
				doc[name] = x
			}
		}
		if err := check(doc); err != nil {
			return fmt.Errorf("line %d: %w", line, err)
		}
		text := func(name string) string { s, _ := doc[name].(string); return s }
		at, _ := doc["at_ms"].(float64)
		if err := add(line, record{at, text("account"), text("subject"), text("key"), text("extra")}); err != nil {
			return err
		}
	}
}

// Recorded gives the jobs of a trace.
func Recorded(jobs []Job) Source { return &recorded{jobs} }

type recorded struct{ jobs []Job }

func (r *recorded) Next() (Job, bool) {
	if len(r.jobs) == 0 {
		return Job{}, false
	}
	j := r.jobs[0]
	r.jobs = r.jobs[1:]
	return j, true
}
