// Command case1: more clients than the HTTP/2 port has connections, each job on a connection of its own.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"review/standins/standin"
)

const (
	sockets        = 256 // descriptors of the dispatcher
	crowd          = 70  // clients: under a third of the descriptors
	usualClients   = 30
	span           = 12 * time.Second // in which clients send new jobs
	runtime        = 100 * time.Millisecond
	deadline       = 5 * time.Second
	answerSlack    = 500 * time.Millisecond // an answer that is later than the deadline by more is lost
	callerPatience = time.Second            // how long a caller of the admin API waits
	killAfter      = 3700 * time.Millisecond
)

func main() { standin.Main(play) }

// tally counts what became of the requests.
type tally struct {
	served, refused, failed, closed, lost atomic.Int64
}

// play lets the clients send jobs, and checks that each job that was written has an answer, or that its connection was closed.
func play(p *standin.Platform) ([]string, error) {
	deployment, err := standin.NewDeployment(p.Record, true, standin.UsualWindow, func(string) time.Duration { return runtime })
	if err != nil {
		return nil, err
	}
	operator, err := p.WriteFile("operator.hcl", fmt.Sprintf("front \"http2\" {\n  listen = %q\n}\n", deployment.HTTP2))
	if err != nil {
		return nil, err
	}
	config := standin.Config(deployment.Listen, deployment.Registry.Address(), deployment.Admin, deployment.Registry.List(), standin.Settings(true, standin.UsualWindow))
	config = strings.Replace(config, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), 1)
	process, err := p.Start("dispatcher", config, operator, p.Dir)
	if err != nil {
		return nil, err
	}
	if err := p.AwaitYes(process, "http://"+deployment.Listen+"/health/ready", 10*time.Second); err != nil {
		return nil, err
	}
	count := usualClients
	if p.Trouble {
		count = crowd
	}
	var result tally
	var clients sync.WaitGroup
	until := time.Now().Add(span)
	for i := range count {
		clients.Go(func() { playClient(p, deployment, &result, i, until) })
	}
	clients.Wait()
	p.Record.Say("%d clients: served %d, refused %d, failed %d, connection closed %d, neither answer nor close %d", count,
		result.served.Load(), result.refused.Load(), result.failed.Load(), result.closed.Load(), result.lost.Load())
	var breaches []string
	if lost := result.lost.Load(); lost > 0 {
		breaches = append(breaches, fmt.Sprintf("lost: %d jobs, written whole to an open connection, have no answer %v after their deadline", lost, answerSlack))
	}
	look(p, deployment, process)
	return breaches, nil
}

// playClient sends one job after the other. Each has a connection of its own, which rests for a while after the answer.
func playClient(p *standin.Platform, deployment *standin.Deployment, result *tally, client int, until time.Time) {
	for job := 0; time.Now().Before(until); job++ {
		transport := &http.Transport{Protocols: &http.Protocols{}}
		transport.Protocols.SetUnencryptedHTTP2(true)
		send(p, transport, deployment.HTTP2, result, fmt.Sprintf("%016x%016x", client+1, job))
		time.Sleep(time.Duration(200+(client*131+job*377)%400) * time.Millisecond)
		transport.CloseIdleConnections()
	}
}

// send sends a job and records what becomes of it.
func send(p *standin.Platform, transport *http.Transport, address string, result *tally, key string) {
	written := false
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) { written = info.Err == nil }}
	ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(context.Background(), trace), deadline+answerSlack)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/price-part", strings.NewReader("drawing "+key))
	for name, value := range map[string]string{"Req-Id": key[8:24], "Req-Kind": "price-part", "Req-Owner": "deeside-aero",
		"Req-Deadline-Ms": fmt.Sprint(deadline.Milliseconds()), "Idempotency-Key": key} {
		request.Header.Set(name, value)
	}
	p.Record.Log("client: sends key=%s", key)
	response, err := (&http.Client{Transport: transport}).Do(request)
	body := []byte(nil)
	if err == nil {
		body, err = io.ReadAll(response.Body)
		response.Body.Close()
	}
	switch {
	case err == nil:
		p.Record.Log("client: answer key=%s status=%d body=%q", key, response.StatusCode, body)
		switch response.StatusCode {
		case http.StatusOK:
			result.served.Add(1)
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			result.refused.Add(1)
		default:
			result.failed.Add(1)
		}
	case errors.Is(err, context.DeadlineExceeded) && written:
		p.Record.Log("client: NO ANSWER key=%s: written whole, connection open", key)
		result.lost.Add(1)
	default:
		p.Record.Log("client: connection closed key=%s: %v", key, err)
		result.closed.Add(1)
	}
}

// look records whether the process still answers operators, and whether it ends after SIGTERM. It breaks no rule of this case by itself.
func look(p *standin.Platform, deployment *standin.Deployment, process *standin.Process) {
	client := &http.Client{Timeout: callerPatience, Transport: &http.Transport{DisableKeepAlives: true}}
	if response, err := client.Get("http://" + deployment.Admin + "/_vars"); err != nil {
		p.Record.Say("operator: GET /_vars: no answer within %v", callerPatience)
	} else {
		response.Body.Close()
		p.Record.Say("operator: GET /_vars: %d", response.StatusCode)
	}
	p.Signal(process, syscall.SIGTERM)
	select {
	case <-process.Exited:
		p.Record.Say("platform: the process ended after SIGTERM")
	case <-time.After(killAfter):
		p.Record.Say("platform: the process still runs %v after SIGTERM", killAfter)
	}
}
