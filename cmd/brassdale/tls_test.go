package main

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// certificateAuthority signs certificates for the tests.
type certificateAuthority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

// newCertificateAuthority returns an authority with a new key.
func newCertificateAuthority(t *testing.T) *certificateAuthority {
	a := &certificateAuthority{t: t}
	a.certificate = &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(1000 * time.Hour), KeyUsage: x509.KeyUsageCertSign}
	a.key = must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	der := must(x509.CreateCertificate(rand.Reader, a.certificate, a.certificate, a.key.Public(), a.key))
	a.certificate = must(x509.ParseCertificate(der))
	a.pem = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return a
}

// sign returns a certificate for a name and its key, both as PEM.
func (a *certificateAuthority) sign(name string, validity time.Duration) (certificatePEM, keyPEM []byte) {
	key := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	der := must(x509.CreateCertificate(rand.Reader, &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), DNSNames: []string{name},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(validity),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}, a.certificate, key.Public(), a.key))
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: must(x509.MarshalECPrivateKey(key))})
}

// newClient returns a client with a certificate for a name. If the name is empty, the client has no certificate.
func (a *certificateAuthority) newClient(name string) *http.Client {
	config := &tls.Config{RootCAs: x509.NewCertPool()}
	config.RootCAs.AddCert(a.certificate)
	if name != "" {
		config.Certificates = []tls.Certificate{must(tls.X509KeyPair(a.sign(name, time.Hour)))}
	}
	transport := &http.Transport{TLSClientConfig: config, Protocols: &http.Protocols{}}
	transport.Protocols.SetHTTP2(true)
	a.t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// sendTLS sends a request of an account over TLS and returns the status; 0 without an answer.
func (d *testDispatcher) sendTLS(client *http.Client, key, account string) int {
	url := strings.Replace(d.http2URL, "http://", "https://", 1)
	status, _, _ := trySend(client, newRequest(url, key, "Req-Owner", account))
	return status
}

// TestTLS_clientCertificatesAndReload checks that a client's certificate determines for which accounts its requests are accepted, and that
// SIGHUP applies new files of certificates and grants as a whole or not at all.
func TestTLS_clientCertificatesAndReload(t *testing.T) {
	t.Parallel()
	authority, dir := newCertificateAuthority(t), t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	write := func(name string, text []byte) {
		if err := os.WriteFile(path(name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	certificate, key := authority.sign("dispatcher.example", 30*24*time.Hour)
	write("server.pem", certificate)
	write("server.key", key)
	write("clients.pem", authority.pem)
	operator := func(accounts string) string {
		return fmt.Sprintf(`front "http2" {
  listen = "127.0.0.1:0"
  tls {
    certificate = %q
    key         = %q
    client_ca   = %q
  }
  client "gwent" {
    names    = ["gwent.example"]
    accounts = [%s]
  }
}
`, path("server.pem"), path("server.key"), path("clients.pem"), accounts)
	}
	worker := startWorker(t, "a", completeJob)
	dispatcher := startDispatcher(t, operator(`"gwent-pumps"`), worker)
	granted := authority.newClient("gwent.example")
	if status := dispatcher.sendTLS(granted, "k", "gwent-pumps"); status != 200 {
		t.Errorf("a granted account: status %d, want 200", status)
	}
	if status := dispatcher.sendTLS(granted, "foreign", "taff-marine"); status != 403 {
		t.Errorf("an account that is not granted: status %d, want 403", status)
	}
	if status := dispatcher.sendTLS(authority.newClient("taff.example"), "unknown", "gwent-pumps"); status != 403 {
		t.Errorf("a certificate without grants: status %d, want 403", status)
	}
	if status := dispatcher.sendTLS(authority.newClient(""), "none", "gwent-pumps"); status != 0 {
		t.Errorf("no certificate: status %d, want no answer (0)", status)
	}
	if status := dispatcher.sendTLS(newCertificateAuthority(t).newClient("gwent.example"), "false", "gwent-pumps"); status != 0 {
		t.Errorf("a certificate of an unknown authority: status %d, want no answer (0)", status)
	}
	if worker.runsOf("foreign")+worker.runsOf("unknown")+worker.runsOf("none")+worker.runsOf("false") != 0 {
		t.Error("a forbidden request reached the worker")
	}
	if requests := dispatcher.metric("front.http2.forbidden"); requests != 2 {
		t.Errorf("%d forbidden requests, want 2", requests)
	}
	if days := dispatcher.metric("front.http2.certificate_days"); days != 29 {
		t.Errorf("the certificate expires in %d days, want 29", days)
	}
	// Without TLS, or with HTTP/1.1 over TLS, the connection is closed without an answer.
	if status, _, _ := trySend(newHTTP2Client(t), newRequest(dispatcher.http2URL, "clear")); status != 0 {
		t.Errorf("without TLS: status %d, want no answer (0)", status)
	}
	onlyHTTP1 := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"http/1.1"}}
	if conn, err := tls.Dial("tcp", strings.TrimPrefix(dispatcher.http2URL, "http://"), onlyHTTP1); err == nil {
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Error("HTTP/1.1 over TLS was answered")
		}
		conn.Close()
	}

	reload := func(applied, rejected int) {
		t.Helper()
		dispatcher.command.Process.Signal(syscall.SIGHUP)
		dispatcher.waitFor(fmt.Sprintf("reload_success=%d and reload_failure=%d", applied, rejected), func() bool {
			return dispatcher.metric("reload_success") == applied && dispatcher.metric("reload_failure") == rejected
		})
	}
	// With an invalid certificate, or a key that others may read, no change is applied, not even valid parts of the new file.
	write("server.pem", []byte("invalid"))
	dispatcher.writeFile(dispatcher.operatorPath, operator(`"taff-marine"`))
	reload(0, 1)
	write("server.pem", certificate)
	if err := os.Chmod(path("server.key"), 0o640); err != nil {
		t.Fatal(err)
	}
	reload(0, 2)
	if !strings.Contains(dispatcher.log(), "operator.hcl:") || !strings.Contains(dispatcher.log(), "others may read it") {
		t.Error("no \"operator.hcl:\" or no \"others may read it\" in the log")
	}
	if status := dispatcher.sendTLS(authority.newClient("gwent.example"), "after", "gwent-pumps"); status != 200 {
		t.Errorf("after rejected reloads: status %d, want 200", status)
	}
	// A new certificate that expires soon, and a new grant.
	if strings.Contains(dispatcher.log(), "certificate expires") {
		t.Error("\"certificate expires\" was logged for a certificate that is valid for 30 days")
	}
	certificate, key = authority.sign("dispatcher.example", 3*24*time.Hour)
	write("server.pem", certificate)
	os.Chmod(path("server.key"), 0o600)
	write("server.key", key)
	reload(1, 2)
	dispatcher.waitFor("one warning of the certificate's expiry", func() bool { return strings.Count(dispatcher.log(), "certificate expires") == 1 })
	if days := dispatcher.metric("front.http2.certificate_days"); days != 2 {
		t.Errorf("the new certificate expires in %d days, want 2", days)
	}
	if status := dispatcher.sendTLS(granted, "granted", "taff-marine"); status != 200 { // on the connection that it opened before the reload
		t.Errorf("a new grant: status %d, want 200", status)
	}
	if status := dispatcher.sendTLS(granted, "revoked", "gwent-pumps"); status != 403 {
		t.Errorf("a revoked grant: status %d, want 403", status)
	}
}
