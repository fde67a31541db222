// Command case1: the process of a dispatcher is replaced while clients use its HTTP/2 port.
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
	clients        = 50  // each with one connection: fewer than the port takes, and under a third of the descriptors
	pause          = 20 * time.Millisecond
	runtime        = 30 * time.Millisecond
	deadline       = 2 * time.Second        // of the class, and of each job
	answerSlack    = 500 * time.Millisecond // an answer that is later than the deadline by more is lost
	upgrades       = 3
	betweenEnds    = 1500 * time.Millisecond // from the end of a process to the next upgrade
	killAfter      = 3700 * time.Millisecond // from SIGTERM to SIGKILL
	callerPatience = time.Second             // how long a caller of the admin API waits
)

func main() { standin.Main(play) }

// tally counts what became of the jobs.
type tally struct {
	served, refused, failed, closed, lost atomic.Int64
}

// play lets the clients send jobs, replaces the process, and checks that each job that was written has an answer, or that its connection
// was closed.
func play(p *standin.Platform) ([]string, error) {
	deployment, err := standin.NewDeployment(p.Record, true, standin.UsualWindow, func(string) time.Duration { return runtime })
	if err != nil {
		return nil, err
	}
	operator, err := p.WriteFile("operator.hcl", fmt.Sprintf("front \"http2\" {\n  listen = %q\n}\n", deployment.HTTP2))
	if err != nil {
		return nil, err
	}
	start := func(name, admin string) (*standin.Process, error) {
		settings := strings.Replace(standin.Settings(true, standin.UsualWindow), `"deadline":5000000`, fmt.Sprintf(`"deadline":%d`, deadline.Microseconds()), 1)
		config := standin.Config(deployment.Listen, deployment.Registry.Address(), admin, deployment.Registry.List(), settings)
		config = strings.Replace(config, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, sockets), 1)
		process, err := p.Start(name, config, operator, p.Dir)
		if err != nil {
			return nil, err
		}
		return process, p.AwaitYes(process, "http://"+admin+"/_ready", 6*time.Second)
	}
	serving, err := start("process-0", deployment.Admin)
	if err != nil {
		return nil, err
	}
	var result tally
	var running sync.WaitGroup
	stop := make(chan struct{})
	for i := range clients {
		running.Go(func() { playClient(p, deployment, &result, i, stop) })
	}
	err = replaceProcesses(p, start, serving, deployment.Admin)
	close(stop)
	running.Wait()
	if err != nil {
		return nil, err
	}
	p.Record.Say("%d clients: served %d, refused %d, failed %d, connection closed %d, neither answer nor close %d", clients,
		result.served.Load(), result.refused.Load(), result.failed.Load(), result.closed.Load(), result.lost.Load())
	if lost := result.lost.Load(); lost > 0 {
		return []string{fmt.Sprintf("lost: %d jobs, written whole to an open connection, had no answer %v after their deadline", lost, answerSlack)}, nil
	}
	return nil, nil
}

// replaceProcesses replaces the process that serves, several times. Without the trouble it waits for about as long.
func replaceProcesses(p *standin.Platform, start func(name, admin string) (*standin.Process, error), serving *standin.Process, admin string) error {
	for number := range upgrades {
		time.Sleep(betweenEnds)
		if !p.Trouble {
			time.Sleep(killAfter)
			continue
		}
		addresses, err := standin.FreeAddresses(1)
		if err != nil {
			return err
		}
		next, err := start(fmt.Sprintf("process-%d", number+1), addresses[0])
		if err != nil {
			return err
		}
		p.Signal(serving, syscall.SIGTERM)
		killAt := time.Now().Add(killAfter)
		time.Sleep(time.Second)
		look(p, serving, admin)
		select {
		case <-serving.Exited:
		case <-time.After(time.Until(killAt)):
			p.Record.Say("platform: %s still runs %v after SIGTERM", serving.Name, killAfter)
			p.Signal(serving, syscall.SIGKILL)
			<-serving.Exited
		}
		serving, admin = next, addresses[0]
	}
	return nil
}

// look records whether a process that has not ended still answers operators.
func look(p *standin.Platform, process *standin.Process, admin string) {
	select {
	case <-process.Exited:
		return
	default:
	}
	client := &http.Client{Timeout: callerPatience, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + admin + "/_vars")
	if err != nil {
		p.Record.Log("operator: GET /_vars of %s: no answer: %v", process.Name, err)
		return
	}
	response.Body.Close()
	p.Record.Log("operator: GET /_vars of %s: %d", process.Name, response.StatusCode)
}

// playClient sends one job after the other, on one connection for as long as it stays open.
func playClient(p *standin.Platform, deployment *standin.Deployment, result *tally, client int, stop <-chan struct{}) {
	transport := &http.Transport{Protocols: &http.Protocols{}}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	for job := 0; ; job++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		send(p, transport, deployment.HTTP2, result, fmt.Sprintf("%016x%016x", client+1, job))
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
