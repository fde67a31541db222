package experiment

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"text/tabwriter"
)

// Table writes each variant's means, and how they differ from the means of the first variant. Seeds are paired, since the variants of a
// seed have the same traffic and faults.
func Table(out io.Writer, rows []Row) error {
	names, byVariant := rowsByVariant(rows)
	if err := writeMeans(out, names, byVariant); err != nil || len(names) < 2 {
		return err
	}
	return writeDifferences(out, names, byVariant)
}

// writeMeans writes a line of means for each variant.
func writeMeans(out io.Writer, names []string, byVariant map[string][]Row) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "variant\truns\t")
	for _, measure := range measures {
		fmt.Fprintf(table, "%s\t", measure.name)
	}
	fmt.Fprintln(table)
	for _, name := range names {
		fmt.Fprintf(table, "%s\t%d\t", name, len(byVariant[name]))
		for _, measure := range measures {
			var figures []float64
			for _, row := range byVariant[name] {
				figures = append(figures, measure.of(row))
			}
			summary := summarize(figures)
			fmt.Fprintf(table, "%.3f ±%.3f\t", summary.Mean, summary.Half)
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}

// writeDifferences writes a line of differences from the first variant for each other variant, and marks significant differences.
func writeDifferences(out io.Writer, names []string, byVariant map[string][]Row) error {
	fmt.Fprintf(out, "\nagainst %s, seed by seed (95%%); * is more than chance\n", names[0])
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	for _, name := range names[1:] {
		fmt.Fprintf(table, "%s\t", name)
		for _, measure := range measures {
			difference, significant := Difference(byVariant[names[0]], byVariant[name], measure.of)
			mark := " "
			if significant {
				mark = "*"
			}
			fmt.Fprintf(table, "%s %+.3f ±%.3f%s\t", measure.name, difference.Mean, difference.Half, mark)
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}

// storedRows is the form of rows.json.
type storedRows struct {
	Title string `json:"title"`
	Rows  []Row  `json:"rows"`
}

// Save writes rows to a directory as JSON, and in the forms that Draw writes.
func Save(dir, title string, rows []Row) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(storedRows{title, rows}, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "rows.json"), text, 0o644); err != nil {
		return err
	}
	return Draw(dir, title, rows)
}

// Read returns the rows that Save wrote to a directory.
func Read(dir string) (title string, rows []Row, err error) {
	text, err := os.ReadFile(filepath.Join(dir, "rows.json"))
	if err != nil {
		return "", nil, err
	}
	var stored storedRows
	err = json.Unmarshal(text, &stored)
	return stored.Title, stored.Rows, err
}

// Draw writes rows to a directory as a table, as CSV, and as a chart for each measure in which they differ.
func Draw(dir, title string, rows []Row) error {
	if err := writeFiles(dir, map[string]func(io.Writer) error{
		"rows.csv": func(file io.Writer) error { return writeCSV(file, rows) },
		"table.txt": func(file io.Writer) error {
			fmt.Fprintf(file, "%s\n\n", title)
			return Table(file, rows)
		},
	}); err != nil {
		return err
	}
	names, byVariant := rowsByVariant(rows)
	for _, measure := range measures {
		if err := drawMeasure(filepath.Join(dir, measure.name+".svg"), title, measure.name, names, byVariant, measure.of); err != nil {
			return err
		}
	}
	return nil
}

// writeFiles creates files in a directory. It calls the function of each name to write the file's content.
func writeFiles(dir string, files map[string]func(io.Writer) error) error {
	for name, write := range files {
		if err := writeFile(filepath.Join(dir, name), write); err != nil {
			return err
		}
	}
	return nil
}

// writeFile creates a file and calls write to write its content.
func writeFile(path string, write func(io.Writer) error) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(file); err != nil {
		_ = file.Close() // the first error counts
		return err
	}
	return file.Close()
}

// writeCSV writes a line for each row, under a line of column names.
func writeCSV(out io.Writer, rows []Row) error {
	columns := []string{"variant", "seed", "build", "jobs"}
	for _, measure := range measures {
		columns = append(columns, measure.name)
	}
	lines := [][]string{append(columns, "breaches")}
	for _, row := range rows {
		line := []string{row.Variant, strconv.FormatUint(row.Seed, 10), row.Build, strconv.Itoa(row.Jobs)}
		for _, measure := range measures {
			line = append(line, strconv.FormatFloat(measure.of(row), 'g', -1, 64))
		}
		lines = append(lines, append(line, strconv.Itoa(len(row.Breaches))))
	}
	return csv.NewWriter(out).WriteAll(lines)
}
