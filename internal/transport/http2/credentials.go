package http2

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"time"
)

// TLS is the block tls of the frontend's settings. Relative paths have been resolved.
type TLS struct {
	Certificate string `hcl:"certificate"`        // PEM file
	Key         string `hcl:"key"`                // PEM file that only its owner may read
	ClientCA    string `hcl:"client_ca,optional"` // PEM file; if set, clients must present a certificate that it signed
}

// FileError is an error in a file that the settings name.
type FileError struct {
	Field string // attribute of the block tls
	Err   error
}

// Error implements error.
func (e *FileError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// Check reads the files as they are now. An error is a *FileError.
func (t *TLS) Check() error {
	_, err := t.load()
	return err
}

// credentials are the contents of the files at the time of a load. They are immutable.
type credentials struct {
	config    *tls.Config
	expiresAt time.Time // of the certificate
}

// errTLSToggled rejects settings that would need a new listener.
var errTLSToggled = errors.New("tls cannot be switched on or off while the program runs")

// tls12CipherSuites are the suites of TLS 1.2 that RFC 9113, section 9.2.2, permits.
func tls12CipherSuites() []uint16 {
	return []uint16{
		tls.TLS_ECDHE_ECDSA_WITH_AES_128_GCM_SHA256, tls.TLS_ECDHE_RSA_WITH_AES_128_GCM_SHA256,
		tls.TLS_ECDHE_ECDSA_WITH_AES_256_GCM_SHA384, tls.TLS_ECDHE_RSA_WITH_AES_256_GCM_SHA384,
		tls.TLS_ECDHE_ECDSA_WITH_CHACHA20_POLY1305_SHA256, tls.TLS_ECDHE_RSA_WITH_CHACHA20_POLY1305_SHA256,
	}
}

// load reads all files. An error is a *FileError.
func (t *TLS) load() (*credentials, error) {
	if err := checkPrivate(t.Key); err != nil {
		return nil, &FileError{"key", err}
	}
	if _, err := os.ReadFile(t.Certificate); err != nil { // the error of LoadX509KeyPair does not name the file
		return nil, &FileError{"certificate", err}
	}
	pair, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, &FileError{"certificate", err}
	}
	config := &tls.Config{
		Certificates: []tls.Certificate{pair},
		NextProtos:   []string{"h2"},
		MinVersion:   tls.VersionTLS12,
		CipherSuites: tls12CipherSuites(),
	}
	if t.ClientCA != "" {
		if config.ClientCAs, err = loadCertPool(t.ClientCA); err != nil {
			return nil, &FileError{"client_ca", err}
		}
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.SessionTicketsDisabled = true // a resumed session would not be verified against a changed CA
	}
	return &credentials{config: config, expiresAt: pair.Leaf.NotAfter}, nil
}

// checkPrivate returns an error if users other than its owner have access to a file.
func checkPrivate(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.Mode().Perm()&0o077 != 0 {
		return fmt.Errorf("%s: others may read it (mode %04o): chmod 600", path, info.Mode().Perm())
	}
	return nil
}

// loadCertPool reads the certificates of a PEM file.
func loadCertPool(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%s: contains no certificate", path)
	}
	return pool, nil
}
