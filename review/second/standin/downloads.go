package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// hangups is how often the machine of the clients gets SIGHUP, one every hangupInterval.
	hangups        = 12
	hangupInterval = 1500 * time.Millisecond
	// downloadDeadline is the deadline of the clients and the time-out of the route.
	downloadDeadline = 1200 * time.Millisecond
	// downloadInterval is the time between two downloads of the clients of the machine.
	downloadInterval = 20 * time.Millisecond
	// One download of ten has maxDownloadBytes, the largest of the site; the others have downloadBytes. The mean of the site is 90,000.
	downloadBytes    = 20_000
	maxDownloadBytes = 540_000
	// cutMargin is how long before the deadline a download has to be cut to count.
	cutMargin = 50 * time.Millisecond
)

// runDownloads lets clients of one machine download answers whose lengths differ, while the machine gets SIGHUP now and then.
func runDownloads(f *fleet, trouble bool) (bool, error) {
	f.linkMbps, f.memoryMB, f.drain = 16, 184, drainS
	for _, service := range []string{"seviye", "arsiv"} {
		if _, err := f.add(service); err != nil {
			return false, err
		}
	}
	f.configure(1, []route{{prefix: "/pull/", kind: "download", service: "arsiv", timeoutS: downloadDeadline.Seconds(), targetS: 0.5, priority: 2}, {prefix: "/read/", kind: "idempotent", service: "seviye", timeoutS: 1, targetS: 0.4, priority: 2}})
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	m := f.machines[0]
	var mu sync.Mutex
	var hangupAt time.Time
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		for range hangups {
			if trouble {
				f.record("machine %s gets SIGHUP", m.ip)
				_ = m.process.Process.Signal(syscall.SIGHUP) // fails only if it has ended
				mu.Lock()
				hangupAt = time.Now()
				mu.Unlock()
			}
			time.Sleep(hangupInterval)
		}
		close(stop)
	}()
	sent, cut, refused, early, lost := 0, 0, 0, 0, 0
	for running := true; running; {
		select {
		case <-stop:
			running = false
			continue
		case <-time.After(downloadInterval):
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			length := downloadBytes
			if rand.IntN(10) == 0 {
				length = maxDownloadBytes
			}
			id := fmt.Sprintf("p%015x", rand.Uint64()>>4)
			mu.Lock()
			signalled := hangupAt
			mu.Unlock()
			began := time.Now()
			status, err := f.download(m, id, length)
			took := time.Since(began)
			mu.Lock()
			defer mu.Unlock()
			sent++
			times, _ := f.machines[1].server.runs(id)
			switch {
			case err == nil && status != 200:
				refused++
			case err != nil && times > 0:
				cut++
				if took < downloadDeadline-cutMargin {
					early++
				}
				if took < downloadDeadline-cutMargin && !signalled.IsZero() && began.Sub(signalled) < configS {
					lost++
					f.record("download %s of %d bytes, sent %.3f s after a SIGHUP, was cut %.3f s after it was sent: %v", id, length, began.Sub(signalled).Seconds(), took.Seconds(), err)
				}
			}
		}()
	}
	wg.Wait()
	f.record("%d downloads, %d answered otherwise, %d cut, %d of them before the deadline and the time-out, %d of these beside a SIGHUP", sent, refused, cut, early, lost)
	return lost > 0, nil
}

// download sends a request for a long answer and reads it until the deadline.
func (f *fleet) download(m *machine, id string, length int) (int, error) {
	c, err := net.Dial("tcp", m.address(f, "callers"))
	if err != nil {
		return 0, err
	}
	defer c.Close()
	if _, err := fmt.Fprintf(c, "GET /pull/1?bytes=%d HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", length, hostName, id, downloadDeadline.Milliseconds()); err != nil {
		return 0, err
	}
	if err := c.SetReadDeadline(time.Now().Add(downloadDeadline)); err != nil {
		return 0, err
	}
	return receive(bufio.NewReader(c), id)
}
