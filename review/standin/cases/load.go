package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/jaypitch/jaypitch/review/standin/fleet"
)

// user is a client with one kept connection, which sends one request after the other.
type user struct {
	fleet   *fleet.Fleet
	machine *fleet.Machine
	name    string
	request fleet.Request
	// pause is the time between two requests.
	pause time.Duration
	// stop ends the user after its request in progress; nil if only max does.
	stop <-chan struct{}
	// max is the number of requests; zero for no limit.
	max int
	// onAnswer is called with each request, whether its connection had carried an answer before, and the answer.
	onAnswer func(q fleet.Request, kept bool, a fleet.Answer)
}

func (u *user) run(wg *sync.WaitGroup) {
	defer wg.Done()
	c := fleet.NewConn(u.machine.Address("outbound"))
	defer c.Close()
	for n := 0; u.max == 0 || n < u.max; n++ {
		select {
		case <-u.stop:
			return
		case <-time.After(u.pause):
		}
		q := u.request
		q.ID = fmt.Sprintf("%s-%d", u.name, n)
		kept := c.Kept()
		u.fleet.Logf("client sends %s %s %s to %s, body of %d bytes, kept connection %t", q.ID, q.Method, q.Path, u.machine.Name, len(q.Body), kept)
		a := c.Do(q)
		u.fleet.Logf("client of %s gets: %s", q.ID, a)
		u.onAnswer(q, kept, a)
	}
}
