package fit

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// Names of result files: with an array of runs, and with one run.
const (
	runsFile = "results.json"
	runFile  = "result.json"
)

// Read returns the runs of files and directories, sorted by their parameters. In a directory it reads results.json or, if there is none,
// result.json and the files of the directories below in the same way. No file is read twice.
func Read(paths ...string) ([]Run, error) {
	var runs []Run
	seen := map[string]bool{} // by absolute path
	for _, path := range paths {
		files, err := findFiles(path)
		if err != nil {
			return nil, err
		}
		for _, file := range files {
			absolute, err := filepath.Abs(file)
			if err != nil {
				return nil, err
			}
			if seen[absolute] {
				continue
			}
			seen[absolute] = true
			text, err := os.ReadFile(file)
			if err != nil {
				return nil, err
			}
			parsed, err := resultFile{path: file, source: sourceName(path, file), text: text}.parse()
			if err != nil {
				return nil, err
			}
			runs = append(runs, parsed...)
		}
	}
	return sortRuns(runs), nil
}

// sourceName returns the Run.Source for a file. If path is a directory, the source is relative to the parent of path. If path is the file
// itself, the source is relative to the parent of the file's directory.
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

// findFiles returns the result files of a directory, or path itself if it is a file. A directory without result files is an error.
func findFiles(path string) ([]string, error) {
	if info, err := os.Stat(path); err != nil || !info.IsDir() {
		return []string{path}, err
	}
	var files []string
	err := filepath.WalkDir(path, func(current string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if !entry.IsDir() {
			if entry.Name() == runFile {
				files = append(files, current)
			}
			return nil
		}
		collected := filepath.Join(current, runsFile)
		if _, err := os.Stat(collected); err != nil {
			return nil
		}
		files = append(files, collected)
		return fs.SkipDir
	})
	if err == nil && len(files) == 0 {
		err = fmt.Errorf("%s: expected results.json or result.json, found neither", path)
	}
	return files, err
}
