package labsupport

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	jobDeadline = 5 * time.Second        // from when a job is sent
	answerSlack = 500 * time.Millisecond // time after the deadline in which a client still reads an answer
	jobBody     = "drawing"
)

// Job is a job that a client sends to a dispatcher. Its id, which is also its idempotency key, consists of Seed and Number.
type Job struct {
	Seed    uint64
	Number  int
	Class   string
	Account string
}

// JobAnswer is what a client received for a job.
type JobAnswer struct {
	Status int
	Body   string
}

// Post sends the job to a dispatcher's listener for clients and reads its answer. It blocks until the answer is complete, for at most the
// job's deadline and answerSlack. It returns an error if there is no complete answer by then.
func (j *Job) Post(ctx context.Context, client *http.Client, address string) (JobAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, jobDeadline+answerSlack)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/%s", address, j.Class), strings.NewReader(jobBody))
	if err != nil {
		return JobAnswer{}, err
	}
	id := fmt.Sprintf("%016x%016x", j.Seed, j.Number)
	request.Header.Set("Req-Id", id)
	request.Header.Set("Req-Kind", j.Class)
	request.Header.Set("Req-Owner", j.Account)
	request.Header.Set("Idempotency-Key", id)
	request.Header.Set("Req-Deadline-Ms", strconv.FormatInt(jobDeadline.Milliseconds(), 10))
	response, err := client.Do(request)
	if err != nil {
		return JobAnswer{}, err
	}
	defer func() { _ = response.Body.Close() }() // it was read to its end, or failed
	body, err := io.ReadAll(response.Body)
	return JobAnswer{response.StatusCode, string(body)}, err
}
