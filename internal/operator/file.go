package operator

import (
	"fmt"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/hashicorp/hcl/v2/hclwrite"

	"brassdale/internal/endpointcache"
	"brassdale/internal/fleet"
	"brassdale/internal/hcldiag"
	"brassdale/internal/transport"
	"brassdale/internal/transport/http2"
)

// File has the settings of each part that an operator's file switches on; nil means off.
type File struct {
	HTTP2         *http2.Settings                // block front "http2"
	Progress      *transport.ProgressSettings    // block front "progress"
	Keys          *transport.IdempotencySettings // block "keys"
	Quotas        *transport.QuotaSettings       // block "accounts"
	EndpointCache *endpointcache.Settings        // block "saved_list"
	Retries       *transport.RetrySettings       // block "fleet"
	Fleet         *fleet.Settings                // block "council"
	Failover      *fleet.Failover                // block "failover"
	Overload      *fleet.Overload                // block "overload"
}

// IdempotencySettings returns the settings of the table of idempotency keys; nil if there is no table. If the file has a block
// "front", there is always a table, since requests with the same key may arrive at any frontend. Without a block "keys" the table
// has the default settings.
func (f *File) IdempotencySettings() *transport.IdempotencySettings {
	if f.Keys == nil && (f.HTTP2 != nil || f.Progress != nil) {
		settings := transport.DefaultIdempotency()
		return &settings
	}
	return f.Keys
}

// Load reads a file. If the file can be read, an error is a hcldiag.FileError that lists all faults of the file.
func Load(path string) (*File, error) {
	if strings.EqualFold(filepath.Ext(path), ".toml") {
		return nil, fmt.Errorf("%s: the operator's file must be HCL, not TOML: move the settings into a block front \"progress\" { ... }, see deploy/operator.hcl", path)
	}
	return hcldiag.Read(path, Parse)
}

// Parse reads the text of a file. path is its name in errors; relative paths in the file are resolved against the directory of path.
// An error is a hcldiag.FileError that lists all faults of the file.
func Parse(text []byte, path string) (*File, error) {
	parsed, faults := hclsyntax.ParseConfig(text, path, hcl.InitialPos)
	file := &File{}
	if body, ok := parsed.Body.(*hclsyntax.Body); ok {
		for _, attr := range body.Attributes {
			faults = append(faults, hcldiag.At(attr.NameRange, "Unsupported argument", "%q is outside any block.", attr.Name))
		}
		seenAt := map[string]hcl.Range{}
		for _, block := range body.Blocks {
			faults = append(faults, file.readBlock(block, filepath.Dir(path), seenAt)...)
		}
	}
	if faults.HasErrors() {
		return nil, hcldiag.FileError(faults)
	}
	return file, nil
}

// readBlock reads a block into the file and returns its faults. seenAt has the positions of the blocks that were read before.
func (f *File) readBlock(parsed *hclsyntax.Block, dir string, seenAt map[string]hcl.Range) hcl.Diagnostics {
	fault := func(summary, format string, arguments ...any) hcl.Diagnostics {
		return hcl.Diagnostics{hcldiag.At(parsed.DefRange(), summary, format, arguments...)}
	}
	name := parsed.Type
	for _, label := range parsed.Labels {
		name += fmt.Sprintf(" %q", label)
	}
	for _, known := range blocks {
		if known.String() != name {
			continue
		}
		if firstAt, duplicate := seenAt[name]; duplicate {
			return fault("Duplicate block", "The block %s is already defined at %s.", name, firstAt)
		}
		seenAt[name] = parsed.DefRange()
		reader := &blockReader{body: parsed.Body, baseDir: dir}
		known.read(f, reader)
		return reader.faults
	}
	var names []string
	for _, known := range blocks {
		names = append(names, known.String())
	}
	return fault("Unsupported block", "There is no block %s; there are: %s.", name, strings.Join(names, ", "))
}

// String returns the settings, defaults included, in the form of an operator's file.
func (f *File) String() string {
	out := hclwrite.NewEmptyFile()
	for _, block := range blocks {
		settings := block.write(f)
		if settings == nil {
			continue
		}
		var labels []string
		if block.label != "" {
			labels = []string{block.label}
		}
		gohcl.EncodeIntoBody(settings, out.Body().AppendNewBlock(block.kind, labels).Body())
	}
	return string(out.Bytes())
}

// NeedsRestart compares the file with the file next. It returns the blocks that are in only one of the files, or that differ in a
// setting which is read only at the start.
func (f *File) NeedsRestart(next *File) (changed []string) {
	for _, block := range blocks {
		before, after := block.write(f), block.write(next)
		if (before == nil) != (after == nil) || before != nil && !reflect.DeepEqual(f.startupSettings(before), f.startupSettings(after)) {
			changed = append(changed, block.String())
		}
	}
	return changed
}

// startupSettings returns the settings of a block that are read only at the start; nil if all of them can change while the program
// runs.
func (f *File) startupSettings(settings any) any {
	switch s := settings.(type) {
	case *http2.Settings:
		return []any{s.Listen, s.Streams}
	case *transport.QuotaSettings:
		return nil
	}
	return settings
}
