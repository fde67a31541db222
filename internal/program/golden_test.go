package program

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"brassdale/internal/testsupport"
	"brassdale/internal/traffic"
)

const (
	goldenSettings = `{"classes":[{"aim":200000,"credit":1,"deadline":500000,"dedupScope":"cell","effect":"keyed","lateWorth":0.1,"name":"price-part","window":7500000}],
"discovery":"ask","familyInfo":{"classKind":[-1],"classStretch":[2.5],"progress":2000000,"tellsStart":true},"flavors":["new-worker"],
"limits":{"cancel":true,"connIdle":10000000,"connectTimeout":200000,"maxAttempts":4,"maxRetryAfter":2000000,"mayDuplicate":true,"probing":true,"retryAfter":true},
"loadReport":{"columns":["cpu_share","pending","x0","x1"],"via":"pull"},"replicasOfMe":1,
"rules":{"answerSlack":8000,"askWithin":10000000,"cold":24000000,"drainGrace":500000,"fall":1500000,"startCapacity":0.14,"tipMultiple":3},"zones":["llanelli","swansea"]}`
	goldenList = `{"revision":1,"complete":true,"members":[{"id":"a","host_port":"127.0.0.1:1","locality":"llanelli","flavor":"new-worker","cell":1,"phase":"active","size":1,"up_since_ms":0}]}`
	noChange   = `{"revision":1,"complete":false,"members":[]}`

	controlKinds = 9 // the kinds of control traffic that are counted
)

// TestGoldenMetrics checks the names of all metrics of the admin API: of a program without an operator's file, of a program whose file
// has every block, and of a program that started from its endpoint cache.
func TestGoldenMetrics(t *testing.T) {
	done := make(chan struct{})
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("index") == "" {
			_, _ = io.WriteString(w, goldenList)
			return
		}
		select {
		case <-done:
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, noChange)
	}))
	defer discovery.Close()
	defer close(done)
	reachable, unreachable := discovery.Listener.Addr().String(), freeAddress(t)
	directory := t.TempDir()

	path := filepath.Join("testdata", "metrics.txt")
	golden := readSections(t, path)
	var got strings.Builder
	for _, run := range []struct {
		name, discovery string
		blocks          bool
	}{
		{"no operator's file", reachable, false},
		{"all blocks", reachable, true},
		{"from the endpoint cache", unreachable, true},
	} {
		operator := ""
		if run.blocks {
			operator = allBlocks(t, directory)
		}
		fmt.Fprintf(&got, "==== %s\n%s", run.name, metricNames(t, run.discovery, operator, golden[run.name]))
	}
	fmt.Fprintf(&got, "==== kinds of control traffic\n%s", controlKindNames(t))
	testsupport.CheckGolden(t, path, []byte(got.String()))
}

// readSections returns the sections of the golden file by their headlines. It returns none if there is no file, which -update then
// writes.
func readSections(t *testing.T, path string) map[string]string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		t.Fatal(err)
	}
	sections := map[string]string{}
	for section := range strings.SplitSeq("\n"+string(text), "\n==== ") {
		if name, body, ok := strings.Cut(section, "\n"); ok {
			sections[name] = strings.TrimSuffix(body, "\n") + "\n"
		}
	}
	return sections
}

// freeAddress returns a loopback address at which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // only its address is used
	return listener.Addr().String()
}

// allBlocks returns the path of an operator's file that has every block; the endpoint cache is in cacheDirectory.
func allBlocks(t *testing.T, cacheDirectory string) string {
	t.Helper()
	dir, raftAddress := t.TempDir(), freeAddress(t)
	writeCertificate(t, dir)
	path := filepath.Join(dir, "operator.hcl")
	text := fmt.Sprintf(`front "http2" {
  listen = "127.0.0.1:0"
  tls {
    certificate = "server.pem"
    key         = "server.key"
  }
}
front "progress" {
  listen = "127.0.0.1:0"
}
keys {
  jobs = 100
}
accounts {
  room = 10
  account "a" { share = 0.5 }
}
fleet {
  retry_budget = 0.2
}
council {
  fleet     = "t"
  listen    = %[1]q
  voters    = [%[1]q]
  seat      = 1
  directory = "council"
  bound     = "1s"
}
failover {
  region "north" { zones = ["llanelli"] }
  region "south" { zones = ["swansea"] }
}
overload {
  retries = 0.1
  probes  = 40
}
saved_list {
  directory = %[2]q
}
`, raftAddress, cacheDirectory)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// writeCertificate writes a self-signed certificate and its key into a directory.
func writeCertificate(t *testing.T, dir string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), DNSNames: []string{"dispatcher.example"}, NotAfter: time.Now().Add(100 * 24 * time.Hour)}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	for name, block := range map[string]*pem.Block{
		"server.pem": {Type: "CERTIFICATE", Bytes: certificate},
		"server.key": {Type: "EC PRIVATE KEY", Bytes: private},
	} {
		if err := os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// metricNames runs the program in this process and returns the names of its metrics, in order, one a line. It returns once they are
// the wanted names in five successive polls, or else after five seconds. A placeholder replaces the kinds of control traffic,
// because timing decides which of them were counted.
func metricNames(t *testing.T, discovery, operator, want string) string {
	t.Helper()
	dir, admin := t.TempDir(), freeAddress(t)
	config := filepath.Join(dir, "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"admin":%q,"seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":%s}`,
		discovery, admin, goldenSettings)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	env := func(name string) string { return map[string]string{"GW_CONFIG": config, "TMPDIR": dir}[name] }
	options := Options{Operator: operator, Handler: func(o *slog.HandlerOptions) slog.Handler { return slog.NewTextHandler(io.Discard, o) }}
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- Run(env, options, signals, nil) }()
	defer func() {
		signals <- syscall.SIGTERM
		if err := <-ended; err != nil {
			t.Errorf("Run: %v", err)
		}
	}()
	names, matches := "", 0
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && matches < 5; time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + admin + "/_vars")
		if err != nil {
			continue // not listening yet
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("GET /_vars: %d, %v", response.StatusCode, err)
		}
		if names = namesOf(t, string(body)); names == want {
			matches++
		} else {
			matches = 0
		}
	}
	return names
}

// controlMetric matches the metrics of a kind of control traffic.
var controlMetric = regexp.MustCompile(`^control_[a-z_]+_(sent|received|messages)$`)

// namesOf returns the names of metrics in order, each once.
func namesOf(t *testing.T, text string) string {
	t.Helper()
	var names []string
	for line := range strings.Lines(text) {
		name, value, ok := strings.Cut(strings.TrimSuffix(line, "\n"), "=")
		if !ok || name == "" || value == "" {
			t.Fatalf("line %q is not a metric", line)
		}
		if match := controlMetric.FindStringSubmatch(name); match != nil {
			name = "control_KIND_" + match[1]
		}
		if name == "list_source" {
			name += "=" + value
		}
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return strings.Join(names, "\n") + "\n"
}

// controlKindNames returns the names of all kinds of control traffic, and the JSON keys of their counts.
func controlKindNames(t *testing.T) string {
	t.Helper()
	meter := &traffic.Meter{}
	for kind := range traffic.Kind(controlKinds) {
		meter.Sent(kind, 1)
	}
	counts := meter.Counts()
	if len(counts) != controlKinds {
		t.Errorf("%d kinds of control traffic, want %d", len(counts), controlKinds)
	}
	text, err := json.Marshal(traffic.Count{})
	if err != nil {
		t.Fatal(err)
	}
	return strings.Join(slices.Sorted(maps.Keys(counts)), "\n") + "\n" + string(text) + "\n"
}
