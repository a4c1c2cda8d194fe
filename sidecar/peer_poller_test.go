package sidecar

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/mesh"
	"github.com/jaypitch/jaypitch/schema"
)

// TestFewSidecarsRequestDuringOutage guards against a fleet that overloads a store that is down with requests.
func TestFewSidecarsRequestDuringOutage(t *testing.T) {
	is := is.New(t)
	is.Equal(storeRequesters(0), float64(expectedStoreRequesters))
	is.Equal(storeRequesters(outageFailures-1), float64(expectedStoreRequesters))
	is.Equal(storeRequesters(outageFailures), float64(expectedStoreRequestersInOutage))
}

// TestOutageCountsUntilNextRequest guards against a sidecar that goes on counting the store as down after others have heard it. When it gets no
// confirmations later, it would ask the store too seldom.
func TestOutageCountsUntilNextRequest(t *testing.T) {
	o := &outage{}
	o.run(t, func(t *testing.T) {
		is := is.New(t)
		w := o.sidecar.watcher
		o.store.SetSilent(true)
		for w.outageFailureCount() < outageFailures {
			time.Sleep(pollTime)
		}
		o.heard = true
		o.hear()
		is.Equal(w.outageFailureCount(), 0)
		is.True(w.failing())
	})
}

// TestUnresponsivePeersDelayRefresh guards against a sidecar that learns of no change while it waits for unresponsive peers.
func TestUnresponsivePeersDelayRefresh(t *testing.T) {
	for name, c := range map[string]struct {
		took, want time.Duration
	}{
		"peers that respond": {10 * time.Millisecond, 10 * time.Millisecond},
		"unresponsive peers": {time.Hour, pollPatience},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var background sync.WaitGroup
				r := &pollRound{ended: make(chan struct{}), wg: &background}
				r.polls.Add(1)
				time.AfterFunc(c.took, r.polls.Done)
				background.Add(1)
				go r.run()
				began := time.Now()
				r.await()
				is.Equal(time.Since(began), c.want)
				background.Wait()
				is.True(r.hasEnded())
			})
		})
	}
}

// TestOddEntriesReplaceReaders guards against entries of another writer that take the places of the readers, so that nobody watches the store.
func TestOddEntriesReplaceReaders(t *testing.T) {
	is := is.New(t)
	c := &schema.MeshConfig{Version: 1, Services: []string{"x"}}
	u := jaypitch.MeshUpdate{Full: true, Revision: 9, Config: c}
	for i := range 300 {
		service := "x"
		if i >= 6 {
			service = "unnamed"
		}
		u.Servers = append(u.Servers, &schema.MeshServer{Id: fmt.Sprint(i), Service: service, Address: fmt.Sprintf("10.0.%d.%d:80", i/100, i%100), Slots: 1, Revision: int64(i + 1)})
	}
	r := mesh.NewReplica()
	r.Merge(u, time.Now())
	readers := 0
	for i := range 6 {
		if isReader(r.Table(), u.Servers[i].GetAddress()) {
			readers++
		}
	}
	is.Equal(readers, readerCount)
}
