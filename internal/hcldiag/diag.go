// Package hcldiag words what is wrong with a file in HCL.
package hcldiag

import (
	"fmt"
	"os"
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

// Blocks gives a body's blocks by their kind, in their order.
func Blocks(body *hclsyntax.Body) map[string][]*hclsyntax.Block {
	blocks := map[string][]*hclsyntax.Block{}
	for _, b := range body.Blocks {
		blocks[b.Type] = append(blocks[b.Type], b)
	}
	return blocks
}

// Place is where an attribute's value stands, or where it is missing.
func Place(body *hclsyntax.Body, attribute string) hcl.Range {
	if a := body.Attributes[attribute]; a != nil {
		return a.Expr.Range()
	}
	return body.MissingItemRange()
}

// Read reads a file by its parser, which names it in its faults.
func Read[T any](path string, parse func(text []byte, path string) (T, error)) (T, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		var none T
		return none, err
	}
	return parse(text, path)
}
