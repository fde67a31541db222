package fit

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// fellBehindKey is the key that marks a run that does not count, with the value true or a number that is not 0.
const fellBehindKey = "fell_behind"

// resultFile is the text of a result file.
type resultFile struct {
	path   string // for errors
	source string // Run.Source
	text   []byte
}

// parse returns the file's run or, if the file is an array, its runs. Errors name file, line and column.
func (f resultFile) parse() ([]Run, error) {
	var document json.RawMessage
	if err := json.Unmarshal(f.text, &document); err != nil {
		return nil, f.syntaxError(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(f.text))
	isArray := bytes.HasPrefix(bytes.TrimSpace(f.text), []byte("["))
	if isArray {
		if _, err := decoder.Token(); err != nil {
			return nil, f.syntaxError(err)
		}
	}
	var runs []Run
	for decoder.More() {
		var object json.RawMessage
		if err := decoder.Decode(&object); err != nil {
			return nil, f.syntaxError(err)
		}
		run, err := parseRun(object)
		if err != nil {
			return nil, f.errorAt(decoder.InputOffset()-int64(len(object)), err)
		}
		run.Source = f.source
		if isArray {
			run.Source = fmt.Sprintf("%s[%d]", f.source, len(runs))
		}
		runs = append(runs, run)
	}
	if len(runs) == 0 {
		return nil, f.errorAt(0, errors.New("expected at least one run, found none"))
	}
	return runs, nil
}

// errorAt prefixes an error with the path and with the line and column of a byte offset. An offset outside the text counts as its nearer end.
func (f resultFile) errorAt(offset int64, err error) error {
	before := f.text[:min(max(offset, 0), int64(len(f.text)))]
	line, column := bytes.Count(before, []byte("\n"))+1, len(before)-bytes.LastIndexByte(before, '\n')
	return fmt.Errorf("%s:%d:%d: %w", f.path, line, column, err)
}

// syntaxError prefixes an error of encoding/json with its place. For an unexpected end that is the end of the text.
func (f resultFile) syntaxError(err error) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) && !strings.HasPrefix(syntax.Error(), "unexpected end") {
		return f.errorAt(syntax.Offset-1, syntax) // Offset is one past the invalid byte
	}
	return f.errorAt(int64(len(f.text)), err)
}

// parseRun parses a run's JSON object. The caller sets Run.Source.
func parseRun(text []byte) (Run, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var fields map[string]any
	if err := decoder.Decode(&fields); err != nil {
		return Run{}, errors.New("expected a JSON object for a run")
	}
	fellBehind, err := parseFellBehind(fields[fellBehindKey])
	if err != nil {
		return Run{}, err
	}
	delete(fields, fellBehindKey)
	run := Run{FellBehind: fellBehind, Values: map[string]float64{}}
	run.Commit, _ = fields["commit"].(string)
	run.Command, _ = fields["command"].(string)
	if err := run.addValues("", fields); err != nil {
		return Run{}, err
	}
	if dispatchers, ok := run.Values[paramDispatchers]; !ok || dispatchers < 1 {
		return Run{}, errors.New("dispatchers is missing or below 1")
	}
	return run, nil
}

// parseFellBehind parses the value of fell_behind. Earlier builds wrote a number: how often, or how far, the machine fell behind.
func parseFellBehind(value any) (bool, error) {
	switch value := value.(type) {
	case nil:
		return false, nil
	case bool:
		return value, nil
	case json.Number:
		number, err := value.Float64()
		return err != nil || number != 0, nil
	default:
		return false, errors.New("fell_behind: expected a number, true or false")
	}
}

// addValues adds all numbers of an object to the run, with the prefix before their names. Fields that are neither a number nor an object
// are ignored, or are an error if reports contain a value of that name.
func (r *Run) addValues(prefix string, fields map[string]any) error {
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		name := prefix + key
		switch field := fields[key].(type) {
		case nil:
		case json.Number:
			number, err := field.Float64()
			if err != nil {
				return fmt.Errorf("%s: %s is out of range for a 64-bit float", name, field)
			}
			r.Values[name] = number
		case map[string]any:
			if err := r.addValues(name+".", field); err != nil {
				return err
			}
		default:
			if isReported(name) {
				return fmt.Errorf("%s: expected a number", name)
			}
		}
	}
	return nil
}
