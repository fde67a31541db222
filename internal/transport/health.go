package transport

import "net/http"

const (
	readinessPath = "/health/ready" // 200 while this process takes new requests
	livenessPath  = "/health/live"  // 200 while this process runs
)

// isHealthCheck reports whether a request is for one of the health pages.
func isHealthCheck(r *http.Request) bool {
	return r.URL.Path == readinessPath || r.URL.Path == livenessPath
}

// serveHealth answers a request for a health page.
func (f *frontend) serveHealth(w http.ResponseWriter, r *http.Request) {
	notReady := f.dedicatedToControl || f.shutdownStartedAt.Load() != nil && !f.successorServes.Load()
	defer withWriteTimeout(w, r)()
	switch {
	case r.Method != http.MethodGet && r.Method != http.MethodHead:
		w.Header().Set("Allow", "GET, HEAD")
		w.WriteHeader(http.StatusMethodNotAllowed)
	case notReady && r.URL.Path == readinessPath:
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}
