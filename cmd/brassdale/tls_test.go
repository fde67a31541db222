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

// authority signs certificates for the tests.
type certificateAuthority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

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

// sign gives a certificate and its key for a name.
func (a *certificateAuthority) sign(name string, ends time.Duration) (cert, key []byte) {
	k := must(ecdsa.GenerateKey(elliptic.P256(), rand.Reader))
	der := must(x509.CreateCertificate(rand.Reader, &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), DNSNames: []string{name},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(ends),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}, a.certificate, k.Public(), a.key))
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: must(x509.MarshalECPrivateKey(k))})
}

// client gives a client with a certificate of its name; "" for none.
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

func (d *testDispatcher) sendTLS(client *http.Client, key, account string) int {
	url := strings.Replace(d.http2URL, "http://", "https://", 1)
	status, _, _ := trySend(client, newRequest(url, key, "Req-Owner", account))
	return status
}

// Clients show certificates, which stand for accounts; all files are replaced while the program runs, whole or not at all.
func TestTLS_clientCertificatesAndReload(t *testing.T) {
	t.Parallel()
	ca, dir := newCertificateAuthority(t), t.TempDir()
	at := func(name string) string { return filepath.Join(dir, name) }
	write := func(name string, text []byte) {
		if err := os.WriteFile(at(name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	cert, key := ca.sign("dispatcher.example", 30*24*time.Hour)
	write("server.pem", cert)
	write("server.key", key)
	write("clients.pem", ca.pem)
	block := func(accounts string) string {
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
`, at("server.pem"), at("server.key"), at("clients.pem"), accounts)
	}
	worker := startWorker(t, "a", completeJob)
	dispatcher := startDispatcher(t, block(`"gwent-pumps"`), worker)
	gwent := ca.newClient("gwent.example")
	if status := dispatcher.sendTLS(gwent, "k", "gwent-pumps"); status != 200 {
		t.Errorf("a job of its own: %d", status)
	}
	if status := dispatcher.sendTLS(gwent, "foreign", "taff-marine"); status != 403 {
		t.Errorf("a job of another account: %d", status)
	}
	if status := dispatcher.sendTLS(ca.newClient("taff.example"), "unknown", "gwent-pumps"); status != 403 {
		t.Errorf("a certificate that is granted nothing: %d", status)
	}
	if status := dispatcher.sendTLS(ca.newClient(""), "none", "gwent-pumps"); status != 0 {
		t.Errorf("no certificate: %d", status)
	}
	if status := dispatcher.sendTLS(newCertificateAuthority(t).newClient("gwent.example"), "false", "gwent-pumps"); status != 0 {
		t.Errorf("a certificate of nobody's: %d", status)
	}
	if worker.runsOf("foreign")+worker.runsOf("unknown")+worker.runsOf("none")+worker.runsOf("false") != 0 {
		t.Error("a job that nobody may hand in was started")
	}
	if got := dispatcher.metric("front.http2.forbidden"); got != 2 {
		t.Errorf("%d forbidden", got)
	}
	if days := dispatcher.metric("front.http2.certificate_days"); days != 29 {
		t.Errorf("the certificate ends in %d days", days)
	}
	// In clear, with another protocol, or with HTTP/1.1 over TLS: closed, not answered.
	if status, _, _ := trySend(newHTTP2Client(t), newRequest(dispatcher.http2URL, "clear")); status != 0 {
		t.Errorf("in clear: %d", status)
	}
	if conn, err := tls.Dial("tcp", strings.TrimPrefix(dispatcher.http2URL, "http://"), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"http/1.1"}}); err == nil {
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Error("speaks HTTP/1.1")
		}
		conn.Close()
	}

	reload := func(taken, refused int) {
		t.Helper()
		dispatcher.command.Process.Signal(syscall.SIGHUP)
		dispatcher.waitFor("the reload", func() bool {
			return dispatcher.metric("reload_success") == taken && dispatcher.metric("reload_failure") == refused
		})
	}
	// A broken certificate, and a key that others may read: all stays as it was, also what was good in the new file.
	write("server.pem", []byte("broken"))
	dispatcher.writeFile(dispatcher.operatorPath, block(`"taff-marine"`))
	reload(0, 1)
	write("server.pem", cert)
	if err := os.Chmod(at("server.key"), 0o640); err != nil {
		t.Fatal(err)
	}
	reload(0, 2)
	if !strings.Contains(dispatcher.log(), "operator.hcl:") || !strings.Contains(dispatcher.log(), "others may read it") {
		t.Error("the log does not say what is wrong and where")
	}
	if status := dispatcher.sendTLS(ca.newClient("gwent.example"), "after", "gwent-pumps"); status != 200 {
		t.Errorf("after refused reloads: %d", status)
	}
	// A new one that ends soon, and a new grant.
	if strings.Contains(dispatcher.log(), "certificate expires") {
		t.Error("warned too soon")
	}
	cert, key = ca.sign("dispatcher.example", 3*24*time.Hour)
	write("server.pem", cert)
	os.Chmod(at("server.key"), 0o600)
	write("server.key", key)
	reload(1, 2)
	dispatcher.waitFor("the warning", func() bool { return strings.Count(dispatcher.log(), "certificate expires") == 1 })
	if days := dispatcher.metric("front.http2.certificate_days"); days != 2 {
		t.Errorf("the new certificate ends in %d days", days)
	}
	if status := dispatcher.sendTLS(gwent, "granted", "taff-marine"); status != 200 { // on its old connection too
		t.Errorf("a new grant: %d", status)
	}
	if status := dispatcher.sendTLS(gwent, "taken away", "gwent-pumps"); status != 403 {
		t.Errorf("an old grant: %d", status)
	}
}
