// Package operator reads the operator's file: HCL, a block for each part of the program that the platform does not
// ask for. What no block names is off. Each part declares its own settings as a struct with hcl tags, beside its code;
// here stand the blocks' names, their defaults and what gohcl cannot check by itself.
package operator

import (
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"reflect"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/hashicorp/hcl/v2/hclwrite"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/endpointcache"
	"brassdale/internal/fleet"
	"brassdale/internal/hcldiag"
	"brassdale/internal/protocol"
	"brassdale/internal/transport"
	"brassdale/internal/transport/http2"
)

// mostStreams is the most concurrent streams of a connection that make sense: more connections serve better.
const mostStreams = 4096

// File is what an operator's file switches on; nil stands for off.
type File struct {
	HTTP2         *http2.Settings
	Progress      *transport.ProgressSettings
	Keys          *transport.IdempotencySettings
	Quotas        *transport.QuotaSettings
	EndpointCache *endpointcache.Settings
	Retries       *transport.RetrySettings
	Fleet         *fleet.Settings
	Failover      *fleet.Failover
	Overload      *fleet.Overload
}

// IdempotencySettings gives the settings of the table of keys; nil where there is none. Fronts beside the platform's need it: a key
// may come in at any of them.
func (f *File) IdempotencySettings() *transport.IdempotencySettings {
	if f.Keys == nil && (f.HTTP2 != nil || f.Progress != nil) {
		s := transport.DefaultIdempotency()
		return &s
	}
	return f.Keys
}

// block is a kind of block that a file may hold once.
type block struct {
	kind, label string // label is empty where the block has none
	read        func(*File, *reader)
	write       func(*File) any // its settings, nil where it is off
}

func (b block) String() string {
	if b.label == "" {
		return b.kind
	}
	return fmt.Sprintf("%s %q", b.kind, b.label)
}

// blocks are all that there are. A further part of the program adds its own and changes nothing else here.
var blocks = []block{
	{"front", "http2", readHTTP2, func(f *File) any { return orNil(f.HTTP2) }},
	{"front", "progress", readProgress, func(f *File) any { return orNil(f.Progress) }},
	{"keys", "", readKeys, func(f *File) any { return orNil(f.IdempotencySettings()) }},
	{"accounts", "", readAccounts, func(f *File) any { return orNil(f.Quotas) }},
	{"fleet", "", readFleet, func(f *File) any { return orNil(f.Retries) }},
	{"council", "", readCouncil, func(f *File) any { return orNil(f.Fleet) }},
	{"failover", "", readFailover, func(f *File) any { return orNil(f.Failover) }},
	{"overload", "", readOverload, func(f *File) any { return orNil(f.Overload) }},
	{"saved_list", "", readSaved, func(f *File) any { return orNil(f.EndpointCache) }},
}

// orNil keeps a nil pointer from becoming an interface that holds one.
func orNil[T any](p *T) any {
	if p == nil {
		return nil
	}
	return p
}

// reader reads one block and notes what is wrong with it.
type reader struct {
	body  *hclsyntax.Body
	dir   string // paths in the file count from here
	diags hcl.Diagnostics
}

// decode fills settings, which hold the defaults.
func (r *reader) decode(settings any) bool {
	diags := gohcl.DecodeBody(r.body, nil, settings)
	r.diags = append(r.diags, diags...)
	return !diags.HasErrors()
}

// bad notes a fault of an attribute, at its value; at the block where it stands nowhere.
func (r *reader) bad(attribute, format string, a ...any) { r.badIn(r.body, attribute, format, a...) }

func (r *reader) badIn(body *hclsyntax.Body, attribute, format string, a ...any) {
	r.diags = append(r.diags, hcldiag.At(hcldiag.Place(body, attribute), "Bad "+attribute, format, a...))
}

// address checks where a front listens. Off loopback its traffic can be read on the way unless it is encrypted, so an
// operator has to say that this is meant.
func (r *reader) address(listen string, encrypted, cleartext bool) {
	if err := protocol.CheckAddr(listen); err != nil {
		r.bad("listen", "%v.", err)
		return
	}
	host, _, _ := net.SplitHostPort(listen)
	if ip := net.ParseIP(host); (ip == nil || !ip.IsLoopback()) && !encrypted && !cleartext {
		r.bad("listen", "%q is not a loopback address: give a tls block, or cleartext = true if nobody else can read on the way.", listen)
	}
}

// atLeast checks a number.
func (r *reader) atLeast(attribute string, n, least int) {
	if n < least {
		r.bad(attribute, "It must be %d or more.", least)
	}
}

// inner gives the first block of a kind in the block.
func (r *reader) inner(kind string) *hclsyntax.Body {
	for _, b := range r.body.Blocks {
		if b.Type == kind {
			return b.Body
		}
	}
	return r.body
}

func readHTTP2(f *File, r *reader) {
	s := http2.Default()
	if !r.decode(&s) {
		return
	}
	r.address(s.Listen, s.TLS != nil, s.Cleartext)
	if s.Streams < 1 || s.Streams > mostStreams {
		r.bad("streams", "It must be between 1 and %d.", mostStreams)
	}
	if s.TLS != nil {
		for _, path := range []*string{&s.TLS.Certificate, &s.TLS.Key, &s.TLS.ClientCA} {
			if *path != "" && !filepath.IsAbs(*path) {
				*path = filepath.Join(r.dir, *path)
			}
		}
		wrong := (*http2.FileError)(nil)
		if err := s.TLS.Check(); errors.As(err, &wrong) {
			r.badIn(r.inner("tls"), wrong.Field, "%v.", wrong.Err)
		}
	}
	if len(s.Clients) > 0 && (s.TLS == nil || s.TLS.ClientCA == "") {
		r.badIn(r.inner("client"), "names", "Who a client is can only be told with a client_ca in a tls block.")
	}
	if len(s.Clients) == 0 && s.TLS != nil && s.TLS.ClientCA != "" {
		r.badIn(r.inner("tls"), "client_ca", "Without a client block nobody may hand in a job.")
	}
	f.HTTP2 = &s
}

func readAccounts(f *File, r *reader) {
	s := transport.QuotaSettings{}
	if !r.decode(&s) {
		return
	}
	r.atLeast("room", s.Capacity, 1)
	sum, seen := 0.0, map[string]bool{}
	for _, b := range r.body.Blocks {
		name := b.Labels[0]
		if seen[name] {
			r.badIn(b.Body, "share", "The account %q has a share already.", name)
		}
		seen[name] = true
		for _, a := range s.Accounts {
			if a.Name == name && (a.Share <= 0 || a.Share > 1) {
				r.badIn(b.Body, "share", "It must be above 0 and at most 1.")
				break
			}
		}
	}
	for _, a := range s.Accounts {
		sum += a.Share
	}
	if sum > 1+1e-9 {
		r.bad("room", "The shares add up to %.3g, which is over 1.", sum)
	}
	f.Quotas = &s
}

func readFleet(f *File, r *reader) {
	s := transport.RetrySettings{}
	if !r.decode(&s) {
		return
	}
	if !(s.RetryRatio >= 0 && s.RetryRatio <= 10) {
		r.bad("retry_budget", "It must be between 0 and 10.")
	}
	f.Retries = &s
}

func readCouncil(f *File, r *reader) {
	s := fleet.Default()
	if !r.decode(&s) {
		return
	}
	if s.Name == "" {
		r.bad("fleet", "It must name the fleet.")
	}
	r.address(s.Listen, false, false)
	if err := s.CheckVoters(); err != nil {
		r.bad("voters", "%v.", err)
	}
	if s.Directory == "" {
		r.bad("directory", "It must name a folder.")
	} else if !filepath.IsAbs(s.Directory) {
		s.Directory = filepath.Join(r.dir, s.Directory)
	}
	if _, err := s.Lease(); err != nil {
		r.bad("bound", `%q is no duration of %v or more, such as "2s".`, s.LeaseDuration, fleet.MinLease)
	}
	if _, err := s.ReplaceAfterDuration(); err != nil {
		r.bad("replace", `%q is no duration of %v or more, such as "30s".`, s.ReplaceAfter, fleet.MinReplaceAfter)
	}
	for at, to := range s.AddressOverrides {
		for _, address := range []string{at, to} {
			if _, _, err := net.SplitHostPort(address); err != nil {
				r.bad("reach", "%v.", err)
			}
		}
	}
	if s.Rules != "" && !filepath.IsAbs(s.Rules) {
		s.Rules = filepath.Join(r.dir, s.Rules)
	}
	f.Fleet = &s
}

func readOverload(f *File, r *reader) {
	s := fleet.Overload{}
	if !r.decode(&s) {
		return
	}
	if !(s.RetryRatio >= 0 && s.RetryRatio <= configversions.MaxRetryRatio) {
		r.bad("retries", "It must be between 0 and %d.", configversions.MaxRetryRatio)
	}
	if !(s.ProbesPerSecond >= 0 && s.ProbesPerSecond <= 1e6) {
		r.bad("probes", "It must be between 0 and a million a second.")
	}
	f.Overload = &s
}

func readFailover(f *File, r *reader) {
	s := fleet.DefaultFailover()
	if !r.decode(&s) {
		return
	}
	seen := map[string]bool{}
	for _, region := range s.Regions {
		for _, z := range region.Zones {
			if z == "" || seen[z] {
				r.badIn(r.inner("region"), "zones", "The zone %q has a region already, or no name.", z)
			}
			seen[z] = true
		}
	}
	if len(seen) < 2 || len(seen) > 64 {
		r.bad("region", "There must be 2 to 64 zones in regions.")
	}
	if !(s.Headroom >= 0 && s.Headroom < 1) {
		r.bad("headroom", "It must be from 0 to less than 1.")
	}
	for name, text := range map[string]string{"return_in": s.RecoveryRamp, "alone": s.MaxPlanAge, "detect": s.DetectionTime} {
		if d, err := time.ParseDuration(text); err != nil || d <= 0 {
			r.bad(name, `%q is no duration above 0, such as "10s".`, text)
		}
	}
	f.Failover = &s
}

func readSaved(f *File, r *reader) {
	s := endpointcache.Default()
	if !r.decode(&s) {
		return
	}
	if s.Directory == "" {
		r.bad("directory", "It must name a folder.")
	} else if !filepath.IsAbs(s.Directory) {
		s.Directory = filepath.Join(r.dir, s.Directory)
	}
	if err := endpointcache.CheckDirectory(s.Directory); err != nil {
		r.bad("directory", "%v.", err)
	}
	if oldest, err := s.ParseMaxAge(); err != nil || oldest <= 0 {
		r.bad("oldest", `%q is no duration above 0, such as "72h".`, s.MaxAge)
	}
	if !(s.MinFirstListShare >= 0 && s.MinFirstListShare <= 1) {
		r.bad("shrink", "It must be between 0 and 1.")
	}
	f.EndpointCache = &s
}

func readProgress(f *File, r *reader) {
	s := transport.DefaultProgress()
	if !r.decode(&s) {
		return
	}
	r.address(s.Listen, false, s.Cleartext)
	if s.Upstream != "lines" && s.Upstream != "events" {
		r.bad("upstream", `%q is neither "lines" nor "events".`, s.Upstream)
	}
	f.Progress = &s
}

func readKeys(f *File, r *reader) {
	s := transport.DefaultIdempotency()
	if !r.decode(&s) {
		return
	}
	r.atLeast("jobs", s.Jobs, 1)
	r.atLeast("keep_mb", s.KeepMB, 1)
	f.Keys = &s
}

// Load reads a file. Its error is a hcldiag.Faults where the file can be read.
func Load(path string) (*File, error) {
	if strings.EqualFold(filepath.Ext(path), ".toml") {
		return nil, fmt.Errorf("%s: operators' files are HCL now: put its settings into a block front \"progress\" { ... }, see deploy/operator.hcl", path)
	}
	return hcldiag.Read(path, Parse)
}

// Parse reads the text of a file; path is its name in faults, and relative paths in it count from the path's folder.
// All faults that can be found are in the error, which is then a hcldiag.Faults.
func Parse(text []byte, path string) (*File, error) {
	parsed, diags := hclsyntax.ParseConfig(text, path, hcl.InitialPos)
	f := &File{}
	if body, ok := parsed.Body.(*hclsyntax.Body); ok {
		for _, attr := range body.Attributes {
			diags = append(diags, hcldiag.At(attr.NameRange, "Unsupported argument", "%q stands outside any block.", attr.Name))
		}
		seen := map[string]hcl.Range{}
		for _, b := range body.Blocks {
			diags = append(diags, f.read(b, filepath.Dir(path), seen)...)
		}
	}
	if diags.HasErrors() {
		return nil, hcldiag.Faults(diags)
	}
	return f, nil
}

// read reads a block.
func (f *File) read(b *hclsyntax.Block, dir string, seen map[string]hcl.Range) hcl.Diagnostics {
	fault := func(summary, format string, a ...any) hcl.Diagnostics {
		return hcl.Diagnostics{hcldiag.At(b.DefRange(), summary, format, a...)}
	}
	name := b.Type
	for _, label := range b.Labels {
		name += fmt.Sprintf(" %q", label)
	}
	for _, known := range blocks {
		if known.String() != name {
			continue
		}
		if first, twice := seen[name]; twice {
			return fault("Duplicate block", "The block %s stands at %s already.", name, first)
		}
		seen[name] = b.DefRange()
		r := &reader{body: b.Body, dir: dir}
		known.read(f, r)
		return r.diags
	}
	var names []string
	for _, known := range blocks {
		names = append(names, known.String())
	}
	return fault("Unsupported block", "There is no block %s; there are: %s.", name, strings.Join(names, ", "))
}

// String gives what is in force, defaults included, as a file that says the same.
func (f *File) String() string {
	out := hclwrite.NewEmptyFile()
	for _, b := range blocks {
		settings := b.write(f)
		if settings == nil {
			continue
		}
		var labels []string
		if b.label != "" {
			labels = []string{b.label}
		}
		gohcl.EncodeIntoBody(settings, out.Body().AppendNewBlock(b.kind, labels).Body())
	}
	return string(out.Bytes())
}

// NeedsRestart names the blocks of another version of the file whose settings, or some of them, count from the next start on.
func (f *File) NeedsRestart(next *File) (later []string) {
	for _, b := range blocks {
		now, then := b.write(f), b.write(next)
		if (now == nil) != (then == nil) || now != nil && !reflect.DeepEqual(f.built(now), f.built(then)) {
			later = append(later, b.String())
		}
	}
	return later
}

// built gives what of a block's settings is built in at the start.
func (f *File) built(settings any) any {
	switch s := settings.(type) {
	case *http2.Settings:
		return []any{s.Listen, s.Streams}
	case *transport.QuotaSettings:
		return nil
	}
	return settings
}
