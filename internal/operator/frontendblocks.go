package operator

import (
	"errors"
	"path/filepath"

	"brassdale/internal/endpointcache"
	"brassdale/internal/transport"
	"brassdale/internal/transport/http2"
)

// maxStreams is the limit for the concurrent streams of a connection. Clients with more requests are served better on further connections.
const maxStreams = 4096

// readHTTP2 reads the block front "http2".
func readHTTP2(file *File, reader *blockReader) {
	settings := http2.Default()
	if !reader.decode(&settings) {
		return
	}
	reader.checkAddress(settings.Listen, settings.TLS != nil, settings.Cleartext)
	if settings.Streams < 1 || settings.Streams > maxStreams {
		reader.addFault("streams", "It must be between 1 and %d.", maxStreams)
	}
	if settings.TLS != nil {
		for _, path := range []*string{&settings.TLS.Certificate, &settings.TLS.Key, &settings.TLS.ClientCA} {
			if *path != "" && !filepath.IsAbs(*path) {
				*path = filepath.Join(reader.baseDir, *path)
			}
		}
		fileError := (*http2.FileError)(nil)
		if err := settings.TLS.Check(); errors.As(err, &fileError) {
			reader.addFaultIn(reader.firstNestedBody("tls"), fileError.Field, "%v.", fileError.Err)
		}
	}
	if len(settings.Clients) > 0 && (settings.TLS == nil || settings.TLS.ClientCA == "") {
		reader.addFaultIn(reader.firstNestedBody("client"), "names", "Clients can only be identified with a client_ca in a tls block.")
	}
	if len(settings.Clients) == 0 && settings.TLS != nil && settings.TLS.ClientCA != "" {
		reader.addFaultIn(reader.firstNestedBody("tls"), "client_ca", "Without a client block no client may submit a job.")
	}
	file.HTTP2 = &settings
}

// readProgress reads the block front "progress".
func readProgress(file *File, reader *blockReader) {
	settings := transport.DefaultProgress()
	if !reader.decode(&settings) {
		return
	}
	reader.checkAddress(settings.Listen, false, settings.Cleartext)
	if settings.Upstream != "lines" && settings.Upstream != "events" {
		reader.addFault("upstream", `%q is neither "lines" nor "events".`, settings.Upstream)
	}
	file.Progress = &settings
}

// readIdempotency reads the block "keys".
func readIdempotency(file *File, reader *blockReader) {
	settings := transport.DefaultIdempotency()
	if !reader.decode(&settings) {
		return
	}
	reader.checkAtLeast("jobs", settings.Jobs, 1)
	reader.checkAtLeast("keep_mb", settings.KeepMB, 1)
	file.Keys = &settings
}

// readQuotas reads the block "accounts".
func readQuotas(file *File, reader *blockReader) {
	settings := transport.QuotaSettings{}
	if !reader.decode(&settings) {
		return
	}
	reader.checkAtLeast("room", settings.Capacity, 1)
	sum, seen := 0.0, map[string]bool{}
	for _, block := range reader.body.Blocks {
		name := block.Labels[0]
		if seen[name] {
			reader.addFaultIn(block.Body, "share", "The account %q already has a share.", name)
		}
		seen[name] = true
		for _, a := range settings.Accounts {
			if a.Name == name && (a.Share <= 0 || a.Share > 1) {
				reader.addFaultIn(block.Body, "share", "It must be above 0 and at most 1.")
				break
			}
		}
	}
	for _, a := range settings.Accounts {
		sum += a.Share
	}
	if sum > 1+1e-9 {
		reader.addFault("room", "The shares add up to %.3g, which is over 1.", sum)
	}
	file.Quotas = &settings
}

// readEndpointCache reads the block "saved_list".
func readEndpointCache(file *File, reader *blockReader) {
	settings := endpointcache.Default()
	if !reader.decode(&settings) {
		return
	}
	if settings.Directory == "" {
		reader.addFault("directory", "It must name a directory.")
	} else if !filepath.IsAbs(settings.Directory) {
		settings.Directory = filepath.Join(reader.baseDir, settings.Directory)
	}
	if err := endpointcache.CheckDirectory(settings.Directory); err != nil {
		reader.addFault("directory", "%v.", err)
	}
	if maxAge, err := settings.ParseMaxAge(); err != nil || maxAge <= 0 {
		reader.addFault("oldest", `%q is not a duration above 0, such as "72h".`, settings.MaxAge)
	}
	if !(settings.MinFirstListShare >= 0 && settings.MinFirstListShare <= 1) {
		reader.addFault("shrink", "It must be between 0 and 1.")
	}
	file.EndpointCache = &settings
}
