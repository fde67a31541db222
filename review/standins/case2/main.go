// Command case2: a crowd of clients connects to the HTTP/2 port at once, each with one job.
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
	"time"

	"review/standins/standin"
)

const (
	sockets      = 256 // descriptors of the dispatcher
	crowd        = 80  // clients: under a third of the descriptors
	usualClients = 30
	rounds       = 10 // how often the clients come, on a new connection each time
	roundPause   = 500 * time.Millisecond
	runtime      = 100 * time.Millisecond
	deadline     = 5 * time.Second
	answerSlack  = 500 * time.Millisecond
)

func main() { standin.Main(play) }

// tally counts what became of the requests.
type tally struct {
	served, refused, failed, closedUnsent, closedSent, none atomic.Int64
}

// play lets the clients come together, and checks that no job was passed on to a worker whose connection the dispatcher then closed
// with no answer.
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
	for round := range rounds {
		if result.none.Load() > 0 {
			break // the process hangs (case 1): nothing more is accepted
		}
		var clients sync.WaitGroup
		for i := range count {
			clients.Go(func() { send(p, deployment, &result, fmt.Sprintf("%016x%016x", i+1, round)) })
		}
		clients.Wait()
		time.Sleep(roundPause)
	}
	p.Record.Say("%d clients, up to %d jobs each: served %d, refused %d, failed %d, connection closed with no answer %d (never sent to a worker) and %d (sent to a worker), neither answer nor close %d",
		count, rounds, result.served.Load(), result.refused.Load(), result.failed.Load(), result.closedUnsent.Load(), result.closedSent.Load(), result.none.Load())
	if lost := result.closedSent.Load(); lost > 0 {
		return []string{fmt.Sprintf("lost: %d jobs were sent to a worker, and the dispatcher closed the client's connection with no answer", lost)}, nil
	}
	return nil, nil
}

// send sends a job on a new connection, records what becomes of it, and closes the connection.
func send(p *standin.Platform, deployment *standin.Deployment, result *tally, key string) {
	transport := &http.Transport{Protocols: &http.Protocols{}}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	connections := atomic.Int64{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connections.Add(1) }}
	ctx, cancel := context.WithTimeout(httptrace.WithClientTrace(context.Background(), trace), deadline+answerSlack)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+deployment.HTTP2+"/price-part", strings.NewReader("drawing "+key))
	request.GetBody = nil // the client does not send it again by itself
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
	case errors.Is(err, context.DeadlineExceeded):
		p.Record.Log("client: neither answer nor close key=%s", key)
		result.none.Add(1)
	default:
		time.Sleep(time.Second) // a send that is on its way arrives
		sent := deployment.Bays.Began(key)
		p.Record.Log("client: connection closed with no answer key=%s connections=%d sent to a worker: %t: %v", key, connections.Load(), sent, err)
		if sent {
			result.closedSent.Add(1)
		} else {
			result.closedUnsent.Add(1)
		}
	}
}
