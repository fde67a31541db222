package http2

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"
)

// TLS names the files of a front that speaks TLS. Paths are as they are found from the operator's file.
type TLS struct {
	Certificate string `hcl:"certificate"`
	Key         string `hcl:"key"`
	ClientCA    string `hcl:"client_ca,optional"` // clients must show a certificate of it
}

// Client says whose jobs a client with such a certificate may hand in.
type Client struct {
	Label    string   `hcl:"label,label"`
	Names    []string `hcl:"names"`    // DNS names or URIs of its certificate, or the common name where it has none
	Accounts []string `hcl:"accounts"` // Req-Owner
}

// expiryWarningPeriod is how long before the end of a certificate its operator is told.
const expiryWarningPeriod = 14 * 24 * time.Hour

// credentials are the files' contents as of one moment.
type credentials struct {
	config    *tls.Config
	expiresAt time.Time // of the certificate
}

// FileError is what is wrong with a file, and by which field of the settings it was named.
type FileError struct {
	Field string
	Err   error
}

func (e *FileError) Error() string { return e.Field + ": " + e.Err.Error() }

// load reads all files of the settings, or none: an error is a FileError.
func (t *TLS) load() (*credentials, error) {
	info, err := os.Stat(t.Key)
	if err != nil {
		return nil, &FileError{"key", err}
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, &FileError{"key", fmt.Errorf("%s: others may read it (mode %04o): chmod 600", t.Key, info.Mode().Perm())}
	}
	if _, err := os.ReadFile(t.Certificate); err != nil {
		return nil, &FileError{"certificate", err}
	}
	pair, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, &FileError{"certificate", err}
	}
	k := &credentials{expiresAt: pair.Leaf.NotAfter, config: &tls.Config{
		Certificates: []tls.Certificate{pair}, NextProtos: []string{"h2"}, MinVersion: tls.VersionTLS12,
		// Of TLS 1.2 what RFC 9113, section 9.2.2, leaves over.
		CipherSuites: []uint16{tls.TLS_ECDHE_ECDSA_WITH_AES_128_GCM_SHA256, tls.TLS_ECDHE_RSA_WITH_AES_128_GCM_SHA256,
			tls.TLS_ECDHE_ECDSA_WITH_AES_256_GCM_SHA384, tls.TLS_ECDHE_RSA_WITH_AES_256_GCM_SHA384,
			tls.TLS_ECDHE_ECDSA_WITH_CHACHA20_POLY1305_SHA256, tls.TLS_ECDHE_RSA_WITH_CHACHA20_POLY1305_SHA256},
	}}
	if t.ClientCA == "" {
		return k, nil
	}
	text, err := os.ReadFile(t.ClientCA)
	if err != nil {
		return nil, &FileError{"client_ca", err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, &FileError{"client_ca", fmt.Errorf("%s: no certificate in it", t.ClientCA)}
	}
	k.config.ClientCAs, k.config.ClientAuth = pool, tls.RequireAndVerifyClientCert
	k.config.SessionTicketsDisabled = true // a client whose CA is gone must not come back on an old ticket
	return k, nil
}

// Check reads the files as they are now. An error is a FileError.
func (t *TLS) Check() error {
	_, err := t.load()
	return err
}

// grants tells which accounts' jobs a certificate may hand in, by the names that it may have.
type grants map[string][]string

func newGrants(clients []Client) grants {
	g := grants{}
	for _, c := range clients {
		for _, name := range c.Names {
			g[name] = append(g[name], c.Accounts...)
		}
	}
	return g
}

// permits tells whether the certificate of a connection may hand in an account's job.
func (g grants) permits(state tls.ConnectionState, account string) bool {
	if len(state.VerifiedChains) == 0 || account == "" {
		return false
	}
	return slices.ContainsFunc(certificateNames(state.PeerCertificates[0]), func(name string) bool { return slices.Contains(g[name], account) })
}

func certificateNames(cert *x509.Certificate) []string {
	names := slices.Clone(cert.DNSNames)
	for _, u := range cert.URIs {
		names = append(names, u.String())
	}
	if len(names) == 0 && cert.Subject.CommonName != "" {
		names = append(names, cert.Subject.CommonName)
	}
	return names
}

var errTLSToggled = errors.New("tls cannot be switched on or off while the program runs")
