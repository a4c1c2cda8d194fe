package caller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jaypitch/jaypitch"
)

// stopCall calls StopSending of a dispatcher and records when and with which error it returned.
type stopCall struct {
	dispatcher *Dispatcher
	returned   time.Time
	err        error
}

func (s *stopCall) run(ctx context.Context, process uint64) {
	s.err = s.dispatcher.StopSending(ctx, "h1", process)
	s.returned = time.Now()
}

// TestStopSending checks that StopSending returns only once no attempt at the host is in progress, and that no attempt is sent there afterwards.
func TestStopSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newFaultRun(true, fault{"connecting", "late"})
		d := tr.dispatcher("s1", 1)
		rt, _ := tr.senderReplica.Table().Route("fairs", "charge", "meadow")
		c := tr.newRequest()
		c.Retries = 0
		go d.Do(context.Background(), c, rt)
		synctest.Wait()
		started := time.Now()
		s := &stopCall{dispatcher: d}
		s.run(context.Background(), tr.hosts["h1"].process)
		if s.err != nil || s.returned.Sub(started) < 900*time.Millisecond {
			t.Fatalf("returned after %s with an attempt in progress: %v", s.returned.Sub(started), s.err)
		}
		for range 20 {
			if r := d.Do(context.Background(), tr.newRequest(), rt); r.Response.Code != jaypitch.CodeOK {
				t.Fatalf("code %d", r.Response.Code)
			}
		}
		if n := tr.hosts["h1"].executions; n != 0 {
			t.Fatalf("the host received %d attempts after StopSending had returned", n)
		}
	})
	t.Run("returns an error while an attempt stays in progress", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			tr := newFaultRun(true, fault{"connecting", "late"})
			d := tr.dispatcher("s1", 1)
			rt, _ := tr.senderReplica.Table().Route("fairs", "charge", "meadow")
			go d.Do(context.Background(), tr.newRequest(), rt)
			synctest.Wait()
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			s := &stopCall{dispatcher: d}
			s.run(ctx, tr.hosts["h1"].process)
			if s.err == nil {
				t.Fatal("returned no error with an attempt in progress")
			}
			time.Sleep(2 * time.Second)
		})
	})
}
