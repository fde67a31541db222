package transport

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"brassdale/internal/routing"
)

// respondToDepartedClient responds with a failure to a client that counts as gone. A client that has shut only its sending side
// still reads: without a response it would take the empty 200 of net/http for the result of its job. Over HTTP/2 nothing is
// written: the stream is reset already, and the connection has other streams.
func (f *frontend) respondToDepartedClient(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor < 2 {
		closeAfterAnswer(w)
		f.respond(w, r, routing.Answer{Verdict: routing.Failed})
	}
}

// respond writes an answer. It blocks while the client reads it, for a bounded time.
func (f *frontend) respond(w http.ResponseWriter, r *http.Request, answer routing.Answer) {
	defer withWriteTimeout(w, r)()
	if f.listener.Closing() {
		closeAfterAnswer(w)
	}
	writeAnswer(w, answer)
}

// statusOf returns the HTTP status of an answer. Clients interpret 429 and 503 to mean that the job did not run and may be submitted
// again, so only a rejection gets 503.
func statusOf(answer routing.Answer) int {
	switch {
	case answer.Verdict == routing.Served:
		return http.StatusOK
	case answer.Verdict == routing.Rejected:
		return http.StatusServiceUnavailable
	case answer.DeadlinePassed:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func writeAnswer(w http.ResponseWriter, answer routing.Answer) {
	header := w.Header()
	if answer.Verdict == routing.Rejected && answer.RetryAfter > 0 {
		header.Set("Retry-After", formatRetryAfter(answer.RetryAfter))
	}
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.Itoa(len(answer.Result)))
	w.WriteHeader(statusOf(answer))
	_, _ = w.Write(answer.Result) // fails if the client has left, which is not an error here
}

// formatRetryAfter formats a duration as the value of Retry-After: seconds, rounded up to a millisecond.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(math.Ceil(d.Seconds()*1000)/1000, 'f', -1, 64)
}
