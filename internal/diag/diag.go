// Package diag words what is wrong with a file in HCL.
package diag

import (
	"fmt"
	"strings"

	"github.com/hashicorp/hcl/v2"
)

// Faults are all that is wrong with a file.
type Faults hcl.Diagnostics

// Error gives a line for each fault: file, line, column and what is wrong.
func (f Faults) Error() string {
	var lines []string
	for _, d := range f {
		at := ""
		if d.Subject != nil {
			at = fmt.Sprintf("%s:%d:%d: ", d.Subject.Filename, d.Subject.Start.Line, d.Subject.Start.Column)
		}
		lines = append(lines, fmt.Sprintf("%s%s: %s", at, d.Summary, strings.ReplaceAll(d.Detail, "\n", " ")))
	}
	return strings.Join(lines, "\n")
}

// At is a fault at a place.
func At(place hcl.Range, summary, format string, a ...any) *hcl.Diagnostic {
	return &hcl.Diagnostic{Severity: hcl.DiagError, Summary: summary, Detail: fmt.Sprintf(format, a...), Subject: &place}
}
