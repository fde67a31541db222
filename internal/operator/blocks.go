// Package operator reads the operator's file: HCL, with a block for each part of the program that the platform's file does not
// configure. A part without a block is off. Each part declares its settings as a struct with hcl tags, next to its code; this package
// has the names of the blocks, applies their defaults and does the checks that gohcl cannot do.
package operator

import "fmt"

// block is a kind of block. A file may have at most one block of a kind.
type block struct {
	kind, label string // label is empty for a block without a label
	read        func(*File, *blockReader)
	write       func(*File) any // returns the settings of the block; nil if the part is off
}

// String returns the block's kind and label as they are written in a file.
func (b block) String() string {
	if b.label == "" {
		return b.kind
	}
	return fmt.Sprintf("%s %q", b.kind, b.label)
}

// blocks are all kinds of blocks, in the order in which File.String writes them. A new part of the program adds its block here.
var blocks = []block{
	{"front", "http2", readHTTP2, func(f *File) any { return orNil(f.HTTP2) }},
	{"front", "progress", readProgress, func(f *File) any { return orNil(f.Progress) }},
	{"keys", "", readIdempotency, func(f *File) any { return orNil(f.IdempotencySettings()) }},
	{"accounts", "", readQuotas, func(f *File) any { return orNil(f.Quotas) }},
	{"fleet", "", readRetries, func(f *File) any { return orNil(f.Retries) }},
	{"council", "", readFleet, func(f *File) any { return orNil(f.Fleet) }},
	{"failover", "", readFailover, func(f *File) any { return orNil(f.Failover) }},
	{"overload", "", readOverload, func(f *File) any { return orNil(f.Overload) }},
	{"saved_list", "", readEndpointCache, func(f *File) any { return orNil(f.EndpointCache) }},
}

// orNil returns an untyped nil for a nil pointer: an interface that holds a nil pointer is not nil itself.
func orNil[T any](pointer *T) any {
	if pointer == nil {
		return nil
	}
	return pointer
}
