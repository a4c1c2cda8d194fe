package caller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jaypitch/jaypitch"
)

// promise asks a dispatcher to stop calling a host and notes when it has promised.
type promise struct {
	dispatcher *Dispatcher
	kept       time.Time
	err        error
}

func (p *promise) run(ctx context.Context, process uint64) {
	p.err = p.dispatcher.StopSending(ctx, "h1", process)
	p.kept = time.Now()
}

// TestStopCalling checks that a promise to call a host no more is given only once no call is on its way there, and kept.
func TestStopCalling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTrial(true, fault{"connecting", "late"})
		d := tr.dispatcher("s1", 1)
		rt, _ := tr.sender.Table().Route("fairs", "charge", "meadow")
		c := tr.call()
		c.Retries = 0
		go d.Do(context.Background(), c, rt)
		synctest.Wait()
		started := time.Now()
		p := &promise{dispatcher: d}
		p.run(context.Background(), tr.hosts["h1"].process)
		if p.err != nil || p.kept.Sub(started) < 900*time.Millisecond {
			t.Fatalf("promised after %s with a call on its way: %v", p.kept.Sub(started), p.err)
		}
		for range 20 {
			if r := d.Do(context.Background(), tr.call(), rt); r.Response.Code != jaypitch.CodeOK {
				t.Fatalf("code %d", r.Response.Code)
			}
		}
		if n := tr.hosts["h1"].ran; n != 0 {
			t.Fatalf("%d calls reached the host after the promise", n)
		}
	})
	t.Run("is not given while a call stays on its way", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			tr := newTrial(true, fault{"connecting", "late"})
			d := tr.dispatcher("s1", 1)
			rt, _ := tr.sender.Table().Route("fairs", "charge", "meadow")
			go d.Do(context.Background(), tr.call(), rt)
			synctest.Wait()
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			p := &promise{dispatcher: d}
			p.run(ctx, tr.hosts["h1"].process)
			if p.err == nil {
				t.Fatal("promised with a call on its way")
			}
			time.Sleep(2 * time.Second)
		})
	})
}
