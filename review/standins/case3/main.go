// Command case3: the process of a dispatcher is replaced while jobs run whose progress streams have broken, and their clients reconnect.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"review/standins/standin"
)

const (
	keys        = 16                      // jobs that are watched
	runtime     = 3600 * time.Millisecond // of each watched job
	dropAt      = 300 * time.Millisecond  // after the first send: the stream breaks
	replaceAt   = 500 * time.Millisecond  // the new process is started
	reconnectAt = 3300 * time.Millisecond
	deadline    = 5 * time.Second // after the first send
	window      = 3 * time.Second // of a key

	otherClients = 4 // each sends a short job over HTTP/1.1 every otherPause
	otherPause   = 100 * time.Millisecond
	otherRuntime = 60 * time.Millisecond
)

func main() { standin.Main(play) }

// play starts a dispatcher, sends the jobs, breaks their streams, replaces the process, and lets the clients reconnect.
func play(p *standin.Platform) ([]string, error) {
	deployment, err := standin.NewDeployment(p.Record, false, window, func(key string) time.Duration {
		if strings.HasPrefix(key, "0") {
			return otherRuntime
		}
		return runtime
	})
	if err != nil {
		return nil, err
	}
	operator, err := p.WriteFile("operator.hcl", fmt.Sprintf("front \"progress\" {\n  listen = %q\n}\n", deployment.Progress))
	if err != nil {
		return nil, err
	}
	start := func(name, admin string) (*standin.Process, error) {
		config := standin.Config(deployment.Listen, deployment.Registry.Address(), admin, deployment.Registry.List(), standin.Settings(false, window))
		process, err := p.Start(name, config, operator, p.Dir)
		if err != nil {
			return nil, err
		}
		return process, p.AwaitYes(process, "http://"+admin+"/_ready", 6*time.Second)
	}
	old, err := start("old", deployment.Admin)
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var others, watchers sync.WaitGroup
	for i := range otherClients {
		others.Go(func() { playOther(p, deployment, i, stop) })
	}
	time.Sleep(time.Second)
	begun := time.Now()
	for i := range keys {
		watchers.Go(func() { playKey(p, deployment, begun, fmt.Sprintf("5c0f6e1a2b3d4c59a8b7c6d5e4f3%04x", i)) })
	}
	if p.Trouble {
		time.Sleep(time.Until(begun.Add(replaceAt)))
		if err := replace(p, start, old); err != nil {
			return nil, err
		}
	}
	watchers.Wait()
	close(stop)
	others.Wait()
	time.Sleep(runtime) // a run that was given up goes on to its end
	return deployment.CheckKeys(), nil
}

// replace starts a second process, and ends the first one when the second one says yes.
func replace(p *standin.Platform, start func(name, admin string) (*standin.Process, error), old *standin.Process) error {
	admin, err := standin.FreeAddresses(1)
	if err != nil {
		return err
	}
	if _, err := start("new", admin[0]); err != nil {
		return err
	}
	p.Signal(old, syscall.SIGTERM)
	go func() { // the platform's kill
		select {
		case <-old.Exited:
		case <-time.After(3700 * time.Millisecond):
			p.Signal(old, syscall.SIGKILL)
		}
	}()
	return nil
}

// playOther sends short jobs, one after the other, on a connection that is kept.
func playOther(p *standin.Platform, deployment *standin.Deployment, client int, stop <-chan struct{}) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for job := 0; ; job++ {
		select {
		case <-stop:
			return
		case <-time.After(otherPause):
		}
		key := fmt.Sprintf("0%015x%016x", client+1, job)
		send(p, transport, deployment.Listen, key, key[8:24], time.Now().Add(deadline), time.Time{})
	}
}

// playKey sends a job at the progress port, breaks the stream before its first event, and sends the same request again with the time
// that is left.
func playKey(p *standin.Platform, deployment *standin.Deployment, begun time.Time, key string) {
	first := &http.Transport{DisableKeepAlives: true}
	go send(p, first, deployment.Progress, key, "a"+key[20:], begun.Add(deadline), begun.Add(dropAt))
	time.Sleep(time.Until(begun.Add(reconnectAt)))
	send(p, &http.Transport{DisableKeepAlives: true}, deployment.Progress, key, "b"+key[20:], begun.Add(deadline), time.Time{})
}

// send sends a request and records what comes back. At dropAt, unless it is zero, the connection is closed.
func send(p *standin.Platform, transport *http.Transport, address, key, id string, due, dropAt time.Time) {
	request, _ := http.NewRequest(http.MethodPost, "http://"+address+"/price-part", strings.NewReader("drawing "+key))
	left := fmt.Sprint(time.Until(due).Milliseconds())
	for name, value := range map[string]string{"Req-Id": id, "Req-Kind": "price-part", "Req-Owner": "deeside-aero", "Req-Deadline-Ms": left, "Idempotency-Key": key} {
		request.Header.Set(name, value)
	}
	client := &http.Client{Transport: transport}
	if !dropAt.IsZero() {
		client.Timeout = time.Until(dropAt)
	}
	p.Record.Log("client: sends: key=%s id=%s left=%sms", key, id, left)
	response, err := client.Do(request)
	if err != nil {
		p.Record.Log("client: connection closed before an answer or event: key=%s id=%s: %v", key, id, err)
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	p.Record.Log("client: answer: key=%s id=%s status=%d body=%q err=%v", key, id, response.StatusCode, body, err)
}
