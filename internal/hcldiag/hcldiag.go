// Package hcldiag reads HCL files and reports their mistakes.
package hcldiag

import (
	"fmt"
	"os"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// FileError is an error that lists all mistakes of a file.
type FileError hcl.Diagnostics

// Error returns a line for each mistake: file, line, column, summary and detail.
func (f FileError) Error() string {
	var lines []string
	for _, diagnostic := range f {
		position := ""
		if subject := diagnostic.Subject; subject != nil {
			position = fmt.Sprintf("%s:%d:%d: ", subject.Filename, subject.Start.Line, subject.Start.Column)
		}
		detail := strings.ReplaceAll(diagnostic.Detail, "\n", " ")
		lines = append(lines, fmt.Sprintf("%s%s: %s", position, diagnostic.Summary, detail))
	}
	return strings.Join(lines, "\n")
}

// At returns an error diagnostic for a range of a file. The detail is formatted as by fmt.Sprintf.
func At(place hcl.Range, summary, format string, args ...any) *hcl.Diagnostic {
	return &hcl.Diagnostic{
		Severity: hcl.DiagError,
		Summary:  summary,
		Detail:   fmt.Sprintf(format, args...),
		Subject:  &place,
	}
}

// Decode decodes the text of a file into a struct with hcl tags. If that succeeds, it calls the function check for the mistakes that gohcl
// cannot find. The error is a FileError, in which path is the file's name.
func Decode(text []byte, path string, into any, check func(*hclsyntax.Body) hcl.Diagnostics) error {
	parsed, diags := hclsyntax.ParseConfig(text, path, hcl.InitialPos)
	if !diags.HasErrors() {
		diags = append(diags, gohcl.DecodeBody(parsed.Body, nil, into)...)
	}
	if !diags.HasErrors() {
		diags = append(diags, check(parsed.Body.(*hclsyntax.Body))...)
	}
	if diags.HasErrors() {
		return FileError(diags)
	}
	return nil
}

// Blocks returns a body's blocks by type, in their order in the file.
func Blocks(body *hclsyntax.Body) map[string][]*hclsyntax.Block {
	blocks := map[string][]*hclsyntax.Block{}
	for _, block := range body.Blocks {
		blocks[block.Type] = append(blocks[block.Type], block)
	}
	return blocks
}

// Place returns the range of an attribute's value, or the range where the missing attribute should be.
func Place(body *hclsyntax.Body, attribute string) hcl.Range {
	if found := body.Attributes[attribute]; found != nil {
		return found.Expr.Range()
	}
	return body.MissingItemRange()
}

// Read reads a file and parses it. The function parse uses the path in its errors.
func Read[T any](path string, parse func(text []byte, path string) (T, error)) (T, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		var none T
		return none, err
	}
	return parse(text, path)
}
