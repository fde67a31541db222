package fit

import (
	"io"
	"os"
	"path/filepath"
)

// Save writes table.txt, points.csv, slopes.csv, slopes.json and the charts to a directory, which it creates if needed. The same runs give the
// same bytes.
func Save(dir string, runs []Run) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, file := range []struct {
		name  string
		write func(io.Writer, []Run) error
	}{
		{"table.txt", Table},
		{"points.csv", writeRunsCSV},
		{"slopes.csv", writeSlopesCSV},
		{"slopes.json", writeSlopesJSON},
	} {
		if err := writeFile(filepath.Join(dir, file.name), func(out io.Writer) error { return file.write(out, runs) }); err != nil {
			return err
		}
	}
	return saveCharts(dir, runs)
}

// SaveCompared writes the table that compares two builds to a file.
func SaveCompared(path string, before, after []Run) error {
	return writeFile(path, func(out io.Writer) error { return CompareTable(out, before, after) })
}

// writeFile creates or replaces a file with the output of a function.
func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		_ = file.Close() // the error of the write is returned
		return err
	}
	return file.Close()
}
