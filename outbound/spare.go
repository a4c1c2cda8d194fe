package outbound

import (
	"context"
	"errors"
	"net/http"

	"github.com/jaypitch/jaypitch"
)

// underWay is a hand-over of an idempotent request that may get a second one beside it.
type underWay struct {
	ctx      context.Context
	cancel   context.CancelCauseFunc
	attempts *attempts
	forward  *jaypitch.MeshRequest
	// spare is the second one; nil while there is none.
	spare *spare
}

// spare is a second hand-over beside one whose sidecar has gone silent. The first goes on, since a server may be at work on it.
type spare struct {
	dispatcher *Dispatcher
	first      *underWay
	attempts   *attempts
	cancel     context.CancelFunc
	done       chan struct{}
	// server and reply are set before done is closed; reply is nil if nothing was handed over.
	server string
	reply  *jaypitch.MeshResponse
}

func (d *Dispatcher) enter(id string, u *underWay) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.underWay[id] == nil {
		d.underWay[id] = map[*underWay]bool{}
	}
	d.underWay[id][u] = true
}

// leave ends the time in which a spare may be started; it returns the one that was.
func (d *Dispatcher) leave(id string, u *underWay) *spare {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.underWay[id], u)
	if len(d.underWay[id]) == 0 {
		delete(d.underWay, id)
	}
	return u.spare
}

// spareFor makes a spare if attempts, time and budget are left. The caller holds the lock.
func (d *Dispatcher) spareFor(id string, u *underWay) *spare {
	a := u.attempts
	if u.spare != nil || a.passes+1 >= maxPasses || a.arrivals+1 >= int(a.rule.GetAttempts()) {
		return nil
	}
	if !d.budgeted(a, u.forward) {
		return nil
	}
	s := &spare{dispatcher: d, first: u, done: make(chan struct{}),
		attempts: &attempts{rule: a.rule, service: a.service, tried: append(append([]string(nil), a.tried...), id), passes: a.passes + 1}}
	u.spare = s
	return s
}

// run hands the request over a second time; a whole answer ends the first hand-over.
func (s *spare) run(ctx context.Context) {
	defer close(s.done)
	d := s.dispatcher
	pick := d.choose(s.attempts, s.first.forward)
	if pick.Server == nil {
		return
	}
	own := d.forwardTo(s.attempts, s.first.forward, pick)
	s.server = own.ServerID
	s.reply = d.send(ctx, own, pick.Server)
	d.finish(pick.Server, s.attempts.rule.GetName(), s.reply)
	d.record(own, s.reply, s.attempts.passes+1)
	if good(s.reply) {
		s.first.cancel(jaypitch.ErrSuperseded)
	}
}

// settle returns the better of the replies of the first hand-over and of its spare, if there is one.
func (s *spare) settle(a *attempts, first *jaypitch.MeshResponse) *jaypitch.MeshResponse {
	if s == nil {
		return first
	}
	if good(first) {
		s.cancel()
		<-s.done
		s.reply.Discard()
		return first
	}
	<-s.done
	if s.reply == nil {
		return first
	}
	a.passes++
	a.tried = append(a.tried, s.server)
	if !s.reply.Arrived {
		return first
	}
	a.arrivals++
	if good(s.reply) {
		first.Discard()
		return s.reply
	}
	s.reply.Discard()
	return first
}

// good says whether a reply is an answer that ends the attempts.
func good(r *jaypitch.MeshResponse) bool {
	return r != nil && r.Execution == jaypitch.Executed && r.Status < http.StatusInternalServerError
}

// stopped says whether a spare's answer ended the hand-over.
func stopped(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), jaypitch.ErrSuperseded)
}
