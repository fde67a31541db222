package protocol

import (
	"fmt"
	"net"

	"github.com/BurntSushi/toml"
)

// Operator is the operator's file: it switches the front for progress on and sets it up.
type Operator struct {
	Listen   string `toml:"listen"`   // a loopback address of its own
	Upstream string `toml:"upstream"` // how endpoints are asked to answer: "lines" or "events"
	Jobs     int    `toml:"jobs"`     // most jobs remembered at a time
	KeepMB   int    `toml:"keep_mb"`  // most memory for their answers
}

// LoadOperator reads the operator's file. An error names the field at fault.
func LoadOperator(path string) (*Operator, error) {
	o := &Operator{Upstream: "lines", Jobs: 2048, KeepMB: 24}
	meta, err := toml.DecodeFile(path, o)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	bad := badField(path)
	if extra := meta.Undecoded(); len(extra) > 0 {
		return nil, bad(extra[0].String(), "no such field")
	}
	if err := CheckAddr(o.Listen); err != nil {
		return nil, bad("listen", err.Error())
	}
	host, _, _ := net.SplitHostPort(o.Listen)
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, bad("listen", fmt.Sprintf("%q is not a loopback address", o.Listen))
	}
	switch {
	case o.Upstream != "lines" && o.Upstream != "events":
		return nil, bad("upstream", fmt.Sprintf(`%q is neither "lines" nor "events"`, o.Upstream))
	case o.Jobs < 1:
		return nil, bad("jobs", "must be 1 or more")
	case o.KeepMB < 1:
		return nil, bad("keep_mb", "must be 1 or more")
	}
	return o, nil
}
