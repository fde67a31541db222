package operator

import (
	"net"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"brassdale/internal/hcldiag"
	"brassdale/internal/protocol"
)

// blockReader reads one block and collects its faults.
type blockReader struct {
	body    *hclsyntax.Body
	baseDir string // relative paths in the file are resolved against it
	faults  hcl.Diagnostics
}

// decode decodes the block into settings, which already have the default values. It reports whether the block could be decoded.
func (r *blockReader) decode(settings any) bool {
	diags := gohcl.DecodeBody(r.body, nil, settings)
	r.faults = append(r.faults, diags...)
	return !diags.HasErrors()
}

// addFault adds a fault at the value of an attribute of the block, or at the block if it lacks the attribute.
func (r *blockReader) addFault(attribute, format string, arguments ...any) {
	r.addFaultIn(r.body, attribute, format, arguments...)
}

// addFaultIn is addFault for a block within the block.
func (r *blockReader) addFaultIn(body *hclsyntax.Body, attribute, format string, arguments ...any) {
	r.faults = append(r.faults, hcldiag.At(hcldiag.Place(body, attribute), "Bad "+attribute, format, arguments...))
}

// checkAddress checks the address on which a frontend listens. Unless it is a loopback address, unencrypted traffic can be read in
// transit, so the operator must allow it with the attribute cleartext.
func (r *blockReader) checkAddress(listen string, encrypted, cleartext bool) {
	if err := protocol.CheckAddr(listen); err != nil {
		r.addFault("listen", "%v.", err)
		return
	}
	host, _, _ := net.SplitHostPort(listen)
	if ip := net.ParseIP(host); (ip == nil || !ip.IsLoopback()) && !encrypted && !cleartext {
		r.addFault("listen", "%q is not a loopback address: add a tls block, or set cleartext = true if nobody else can read the traffic.", listen)
	}
}

// checkAtLeast checks that the number of an attribute is not below the minimum.
func (r *blockReader) checkAtLeast(attribute string, value, minimum int) {
	if value < minimum {
		r.addFault(attribute, "It must be %d or more.", minimum)
	}
}

// firstNestedBody returns the body of the first block of a kind within the block, or the block's own body if there is none.
func (r *blockReader) firstNestedBody(kind string) *hclsyntax.Body {
	for _, nested := range r.body.Blocks {
		if nested.Type == kind {
			return nested.Body
		}
	}
	return r.body
}
