package sidecar

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestFewSidecarsRequestDuringOutage guards against a fleet that overloads a store that is down with requests.
func TestFewSidecarsRequestDuringOutage(t *testing.T) {
	is := is.New(t)
	is.Equal(storeRequesters(0), float64(expectedStoreRequesters))
	is.Equal(storeRequesters(outageFailures-1), float64(expectedStoreRequesters))
	is.Equal(storeRequesters(outageFailures), float64(expectedStoreRequestersInOutage))
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
