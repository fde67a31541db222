// Package diag words what is wrong with a file in HCL.
package diag

import (
	"fmt"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"
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

// Decode reads a file's text into what gohcl can fill, and has it checked for what gohcl cannot find. path is its name in
// the error, which names all faults.
func Decode(text []byte, path string, into any, check func(*hclsyntax.Body) hcl.Diagnostics) error {
	parsed, diags := hclsyntax.ParseConfig(text, path, hcl.InitialPos)
	if !diags.HasErrors() {
		diags = append(diags, gohcl.DecodeBody(parsed.Body, nil, into)...)
	}
	if !diags.HasErrors() {
		diags = append(diags, check(parsed.Body.(*hclsyntax.Body))...)
	}
	if diags.HasErrors() {
		return Faults(diags)
	}
	return nil
}
