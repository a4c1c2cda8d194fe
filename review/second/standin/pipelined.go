package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// pair is a pair of requests that a client sends on one connection without waiting for the first answer.
type pair struct{ first, second string }

const (
	// garbleTime, cutShare and the one server of three that breaks off answers are within the garble of the site files.
	garbleTime = 5500 * time.Millisecond
	cutShare   = 0.024
	// pipelining is the number of clients, which all belong to one machine.
	pipelining = 5
	// longBytes is the length of the first answer of each pair.
	longBytes = 300_000
	// lostAllowed is how often a machine may close a connection so.
	lostAllowed = 3
)

// runPipelined sends pairs of idempotent requests on kept connections. The server of the first kind breaks off some of its answers; the servers of the
// second kind are sound.
func runPipelined(f *fleet, trouble bool) (bool, error) {
	f.linkMbps, f.memoryMB, f.drain = 200, 536, drainS
	for _, service := range []string{"archive", "reports", "reports"} {
		if _, err := f.add(service); err != nil {
			return false, err
		}
	}
	f.configure(1, []route{{prefix: "/history/", kind: "idempotent", service: "archive", timeoutS: 4, targetS: 4, priority: 2}, {prefix: "/report/", kind: "idempotent", service: "reports", timeoutS: 1.5, targetS: 0.5, priority: 1}})
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		f.machines[0].server.setCut(func(string) bool { return rand.Float64() < cutShare })
		f.record("server %s breaks off %.3f of its answers for %s", f.machines[0].server.id, cutShare, garbleTime)
	}
	until := time.Now().Add(garbleTime)
	var clients sync.WaitGroup
	sent, lost := 0, 0
	var failed error
	for range pipelining {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for time.Now().Before(until) {
				p := pair{first: fmt.Sprintf("a%015x", rand.Uint64()>>4), second: fmt.Sprintf("b%015x", rand.Uint64()>>4)}
				answered, err := f.sendPair(f.machines[1], p)
				f.mu.Lock()
				sent++
				if err != nil {
					failed = err
				}
				f.mu.Unlock()
				if answered || err != nil {
					continue
				}
				for _, m := range f.machines[1:] {
					if times, at := m.server.runs(p.second); times > 0 {
						f.mu.Lock()
						lost++
						f.mu.Unlock()
						f.record("the answer to %s ended early; %s ran at the sound server %s at %.3f s, and its connection was closed without an answer", p.first, p.second, m.server.id, at.Sub(f.began).Seconds())
					}
				}
			}
		}()
	}
	clients.Wait()
	f.record("%d pairs sent by the clients of %s; %d second requests ran at a sound server and were never answered; allowed are %d", sent, f.machines[1].ip, lost, lostAllowed)
	return lost > lostAllowed, failed
}

// sendPair sends both requests of a pair on a connection that was used before and reads the answers. It reports whether the second was answered.
func (f *fleet) sendPair(m *machine, p pair) (answered bool, err error) {
	c, err := net.Dial("tcp", m.address(f, "callers"))
	if err != nil {
		return false, err
	}
	defer c.Close()
	in := bufio.NewReader(c)
	before := fmt.Sprintf("c%015x", rand.Uint64()>>4)
	if err := send(c, "GET", "/report/1", before); err != nil {
		return false, err
	}
	if _, err := receive(in, before); err != nil {
		return false, err
	}
	if err := send(c, "GET", fmt.Sprintf("/history/1?bytes=%d", longBytes), p.first); err != nil {
		return false, err
	}
	if err := send(c, "GET", "/report/2", p.second); err != nil {
		return false, err
	}
	if _, err := receive(in, p.first); err != nil {
		// The first answer is incomplete. Nothing can follow it on the connection, which the machine has closed.
		return false, nil
	}
	_, err = receive(in, p.second)
	return err == nil, nil
}

// send writes a request without a body.
func send(c net.Conn, method, target, id string) error {
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 4000\r\n\r\n", method, target, hostName, id)
	return err
}

// receive reads an answer and returns its status.
func receive(in *bufio.Reader, id string) (int, error) {
	a, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, err
	}
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, err
	}
	if got := a.Header.Get("X-Attempt-Id"); got != id {
		return 0, fmt.Errorf("the answer names %q instead of %q", got, id)
	}
	if a.StatusCode == http.StatusOK && string(body) != answerBody(id, len(body)) {
		return 0, fmt.Errorf("the body of the answer to %q is another one", id)
	}
	return a.StatusCode, nil
}
