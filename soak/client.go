package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jaypitch/jaypitch/platform"
	"github.com/jaypitch/jaypitch/scenario"
	"github.com/jaypitch/jaypitch/standin"
)

// client sends one request after the other to the sidecar of its host.
type client struct {
	session *session
	host    int
	number  int
	random  *rand.Rand
	http    *http.Client
}

const (
	readPrefix, writePrefix, downloadPrefix = "/read/", "/write/", "/download/"
	downloadBytes                           = 60_000
	// clientTimeout is longer than every rule's timeout, so that a client that gives up has seen a sidecar that doesn't answer in time.
	clientTimeout = 6 * time.Second
	// thinkTime is the mean time between two requests of a client.
	thinkTime = 100 * time.Millisecond
	// slowReadBytes are read at a time by slow readers, with slowReadTime in between.
	slowReadBytes = 6_000
	slowReadTime  = 40 * time.Millisecond
	maxBodyBytes  = 2_000
	// shownBytes is how much of the end of a body a failure shows.
	shownBytes = 40
)

func newClient(r *session, host, number int) *client {
	return &client{session: r, host: host, number: number, random: rand.New(rand.NewPCG(r.config.Seed, uint64(1000+number))),
		http: &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
}

// loop sends requests until the context ends.
func (c *client) loop(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for n := 0; pause(ctx, time.Duration(c.random.ExpFloat64()*float64(thinkTime))); n++ {
		c.send(n)
	}
}

// send sends one request and records what came of it.
func (c *client) send(n int) {
	id, kind := fmt.Sprintf("s%d-%d-%d", c.session.config.Seed, c.number, n), Read
	path, body := readPrefix, id+strings.Repeat("b", c.random.IntN(maxBodyBytes))
	expected := body + "ok"
	switch x := c.random.Float64(); {
	case x < 0.15:
		kind, path = Download, downloadPrefix
		expected = standin.DownloadBody(id, downloadBytes) + "ok"
	case x < 0.5:
		kind, path = Write, writePrefix
	}
	// POST, since net/http's transport sends a GET request again by itself when its connection closes.
	q, err := http.NewRequest(http.MethodPost, c.session.mesh.URL(c.host, "callers")+path+"a", strings.NewReader(body))
	if err != nil {
		panic(err) // the URL is made of numbers and constants
	}
	q.Host = scenario.MeshDomain
	q.Header.Set(platform.HeaderNames.RequestID, id)
	if c.random.IntN(4) == 0 {
		q.Header.Set(platform.HeaderNames.TimeLeftMS, strconv.Itoa(200+c.random.IntN(1500)))
	}
	slow := kind == Download && c.random.IntN(4) == 0
	c.session.record(func(k *Checker, now time.Time) { k.Begin(id, kind, c.host, now) })
	r := c.receive(q, expected, slow)
	c.session.record(func(k *Checker, now time.Time) { k.End(id, r, now) })
}

func (c *client) receive(q *http.Request, expected string, slow bool) Result {
	resp, err := c.http.Do(q)
	if err != nil {
		e, ok := err.(net.Error)
		var op *net.OpError
		return Result{GaveUp: ok && e.Timeout(), NotSent: errors.As(err, &op) && op.Op == "dial", Detail: err.Error()}
	}
	defer resp.Body.Close()
	var body bytes.Buffer
	for err == nil && body.Len() <= len(expected) {
		if _, err = io.CopyN(&body, resp.Body, slowReadBytes); slow {
			time.Sleep(slowReadTime)
		}
	}
	e, ok := err.(net.Error)
	r := Result{Status: resp.StatusCode, Complete: err == io.EOF, GaveUp: ok && e.Timeout()}
	id := resp.Header.Get(platform.HeaderNames.RequestID)
	r.Foreign = id != "" && id != q.Header.Get(platform.HeaderNames.RequestID)
	if r.Status == http.StatusOK {
		r.Spoiled = !r.Complete && strings.HasPrefix(body.String(), standin.EndlessUnit)
		r.Foreign = r.Foreign || !r.Spoiled && (!strings.HasPrefix(expected, body.String()) || r.Complete && body.Len() != len(expected))
	}
	r.Detail = fmt.Sprintf("status %d, request %s, server %q, %d bytes of %d that end with %.60q, %v", r.Status, id, resp.Header.Get(platform.HeaderNames.ServerID), body.Len(), len(expected),
		body.Bytes()[max(0, body.Len()-shownBytes):], err)
	return r
}

// pause waits. It returns false if the context ends before.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// hostile opens connections to an address that send no complete request, until the context ends.
func hostile(ctx context.Context, address string, connections int, line string) {
	var open []net.Conn
	for range connections {
		if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			open = append(open, c)
			defer c.Close()
		}
	}
	for pause(ctx, hostileInterval) && line != "" {
		for _, c := range open {
			_ = c.SetWriteDeadline(time.Now().Add(hostileInterval))
			_, _ = io.WriteString(c, line) // the sidecar may have closed the connection
		}
	}
	<-ctx.Done()
}
