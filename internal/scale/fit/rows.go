// Package fit draws the results of scale runs together: what control costs by role and by kind, and how that grows with the
// fleet's size.
package fit

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Run is one run.
type Run struct {
	Source          string             // its file and its place there
	Values          map[string]float64 // by name; those of an object within as "object.name"
	FellBehind      bool               // the machine was the limit, so the run does not count
	Commit, Command string
}

// parameters are what a run is played at. Runs that are fitted together differ in one of them.
var parameters = []string{"dispatchers", "workers", "zones", "bound_ms"}

// Name tells a run from others.
func (r Run) Name() string {
	name := r.Source + " ("
	for _, n := range []string{"dispatchers", "workers", "zones", "seed"} {
		if x, ok := r.Values[n]; ok {
			name += n + " " + formatExact(x) + ", "
		}
	}
	return strings.TrimSuffix(name, ", ") + ")"
}

// formatExact writes a number as it was read.
func formatExact(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

// sortRuns gives rows by their sizes and seeds, whatever order they came in.
func sortRuns(rows []Run) []Run {
	return slices.SortedStableFunc(slices.Values(rows), func(a, b Run) int {
		for _, n := range append(slices.Clone(parameters), "seed") {
			if c := cmp.Compare(a.Values[n], b.Values[n]); c != 0 {
				return c
			}
		}
		return cmp.Or(cmp.Compare(a.Source, b.Source), cmp.Compare(a.Commit, b.Commit))
	})
}

// excludeFellBehind gives the runs that count, sorted, and the names of those that fell behind.
func excludeFellBehind(rows []Run) (used []Run, behind []string) {
	for _, r := range sortRuns(rows) {
		if r.FellBehind {
			behind = append(behind, r.Name())
		} else {
			used = append(used, r)
		}
	}
	return used, behind
}

// valueNames gives the valueNames of all numbers that the rows have.
func valueNames(rows []Run) []string {
	all := map[string]bool{}
	for _, r := range rows {
		for n := range r.Values {
			all[n] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// Read gives the runs of files and folders. Of a folder it reads results.json, or where there is none each result.json in it
// and its folders. No file is read twice.
func Read(paths ...string) (rows []Run, err error) {
	read := map[string]bool{}
	for _, path := range paths {
		files, err := findFiles(path)
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			whole, err := filepath.Abs(file)
			if err != nil {
				return nil, err
			}
			if read[whole] {
				continue
			}
			read[whole] = true
			text, err := os.ReadFile(file)
			if err != nil {
				return nil, err
			}
			some, err := parseRuns(text, file, sourceName(path, file))
			if err != nil {
				return nil, err
			}
			rows = append(rows, some...)
		}
	}
	return sortRuns(rows), nil
}

// sourceName is a file's name in rows: from the folder that was read, or its own, and without what is above.
func sourceName(path, file string) string {
	top := filepath.Dir(filepath.Clean(path))
	if path == file {
		top = filepath.Dir(top)
	}
	name, err := filepath.Rel(top, file)
	if err != nil {
		name = filepath.Base(file)
	}
	return filepath.ToSlash(name)
}

// findFiles gives the files of results in a folder, or the file itself.
func findFiles(path string) (files []string, err error) {
	if info, err := os.Stat(path); err != nil || !info.IsDir() {
		return []string{path}, err
	}
	err = filepath.WalkDir(path, func(at string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() {
			gathered := filepath.Join(at, "results.json")
			if _, err := os.Stat(gathered); err == nil {
				files = append(files, gathered)
				return fs.SkipDir
			}
		} else if d.Name() == "result.json" {
			files = append(files, at)
		}
		return nil
	})
	if err == nil && len(files) == 0 {
		err = fmt.Errorf("%s: no results.json or result.json there", path)
	}
	return files, err
}

// parseRuns reads a file's text: a run, or an array of runs. path is its name in the error, from its name in rows.
func parseRuns(text []byte, path, from string) (rows []Run, err error) {
	at := func(offset int64, what any) error {
		before := text[:min(max(offset, 0), int64(len(text)))]
		line, column := bytes.Count(before, []byte("\n"))+1, len(before)-bytes.LastIndexByte(before, '\n')
		return fmt.Errorf("%s:%d:%d: %v", path, line, column, what)
	}
	syntax := func(err error) error {
		var bad *json.SyntaxError
		if errors.As(err, &bad) && !strings.HasPrefix(bad.Error(), "unexpected end") {
			return at(bad.Offset-1, bad) // the offset is behind the byte
		}
		return at(int64(len(text)), err)
	}
	var whole json.RawMessage
	if err := json.Unmarshal(text, &whole); err != nil {
		return nil, syntax(err)
	}
	d := json.NewDecoder(bytes.NewReader(text))
	many := strings.HasPrefix(strings.TrimSpace(string(text)), "[")
	if many {
		if _, err := d.Token(); err != nil {
			return nil, syntax(err)
		}
	}
	for n := 0; d.More(); n++ {
		var one json.RawMessage
		if err := d.Decode(&one); err != nil {
			return nil, syntax(err)
		}
		begin := d.InputOffset() - int64(len(one))
		r, err := parseRun(one)
		if err != nil {
			return nil, at(begin, err)
		}
		if r.Source = from; many {
			r.Source = fmt.Sprintf("%s[%d]", from, n)
		}
		rows = append(rows, r)
		if !many {
			break
		}
	}
	if len(rows) == 0 {
		return nil, at(0, "no run in it")
	}
	return rows, nil
}

// parseRun reads a run.
func parseRun(text []byte) (Run, error) {
	r := Run{Values: map[string]float64{}}
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	var values map[string]any
	if err := d.Decode(&values); err != nil && !errors.Is(err, io.EOF) {
		return r, errors.New("a run is a JSON object")
	}
	switch x := values["fell_behind"].(type) {
	case nil:
	case bool:
		r.FellBehind = x
	case json.Number: // how often, or how far
		n, err := x.Float64()
		r.FellBehind = err != nil || n != 0
	default:
		return r, errors.New("fell_behind is neither a number nor true or false")
	}
	delete(values, "fell_behind")
	for name, to := range map[string]*string{"commit": &r.Commit, "command": &r.Command} {
		if x, ok := values[name].(string); ok {
			*to = x
		}
	}
	if err := r.addValues("", values); err != nil {
		return r, err
	}
	if n, ok := r.Values["dispatchers"]; !ok || n < 1 {
		return r, errors.New("dispatchers is missing or below 1")
	}
	return r, nil
}

// addValues keeps all numbers of an object by their names. A figure of the tables must be a number where it is there.
func (r *Run) addValues(prefix string, values map[string]any) error {
	for _, name := range slices.Sorted(maps.Keys(values)) {
		whole := prefix + name
		switch x := values[name].(type) {
		case nil:
		case json.Number:
			n, err := x.Float64()
			if err != nil {
				return fmt.Errorf("%s: %s is no number that can be reckoned with", whole, x)
			}
			r.Values[whole] = n
		case map[string]any:
			if err := r.addValues(whole+".", x); err != nil {
				return err
			}
		default:
			if isShown(whole) {
				return fmt.Errorf("%s is no number", whole)
			}
		}
	}
	return nil
}
