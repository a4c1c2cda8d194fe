package link

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// response is one response of the simulated load. Its bytes are in chunks.
type response struct {
	transfer         *Transfer
	download         bool
	deadline, target time.Time
	readyAt          time.Time
	// left counts the bytes that the server's sidecar hasn't written yet, queued those in the kernel's queue.
	left, queued int64
}

// chunk is a part of a response in the kernel's queue of a link.
type chunk struct {
	response *response
	bytes    int64
}

// host is a receiver with its link. Its scheduler is nil if every response is written at once, as far as the window lets it.
type host struct {
	scheduler *Scheduler
	responses []*response
	kernel    []chunk
	// reported is the backlog that senders know of.
	reported time.Duration
	credit   float64
}

// result counts how the requests of a simulation ended.
type result struct {
	downloads, downloadsOnTarget, refused, downloadsBroken int
	calls, callsLate                                       int
	longestQueue                                           time.Duration
}

const (
	testMegabits = 16
	testTick     = time.Millisecond
	testHosts    = 8
	testWindow   = 64 << 10
	testChunk    = 16 << 10
	// testDelay is how old the senders' knowledge of the backlogs is.
	testDelay = 20 * time.Millisecond
)

var testStart = time.Unix(0, 0)

// simulate replays 200 downloads and 350 short calls a second on eight hosts for a number of seconds. Without scheduling, hosts are chosen in turn.
func simulate(seconds int, scheduled bool) result {
	random := rand.New(rand.NewPCG(1, 2))
	var out result
	hosts := make([]*host, testHosts)
	for i := range hosts {
		hosts[i] = &host{}
		if scheduled {
			hosts[i].scheduler = NewScheduler(testMegabits)
		}
	}
	perTick := testTick.Seconds()
	for tick := range seconds * 1000 {
		now := testStart.Add(time.Duration(tick) * testTick)
		if random.Float64() < 200*perTick {
			out.downloads++
			size := min(540_000, int64(random.ExpFloat64()*91_000))
			r := &response{download: true, left: size, deadline: now.Add(1200 * time.Millisecond), target: now.Add(500 * time.Millisecond),
				readyAt: now.Add(time.Duration(random.ExpFloat64()*60) * time.Millisecond)}
			if h := choose(hosts, r, now, out.downloads); h != nil {
				h.responses = append(h.responses, r)
			} else {
				out.refused++
			}
		}
		if random.Float64() < 350*perTick {
			out.calls++
			h := hosts[out.calls%testHosts]
			h.responses = append(h.responses, &response{left: 1500, deadline: now.Add(300 * time.Millisecond), target: now.Add(120 * time.Millisecond),
				readyAt: now.Add(time.Duration(random.ExpFloat64()*27) * time.Millisecond)})
		}
		for _, h := range hosts {
			h.step(now, &out)
			if h.scheduler != nil && tick%int(testDelay/testTick) == 0 {
				h.reported = h.scheduler.Backlog(now)
			}
		}
	}
	return out
}

// choose returns the host for a download: the next in turn, or that with the least reported backlog and after its refusal the second.
func choose(hosts []*host, r *response, now time.Time, n int) *host {
	if hosts[0].scheduler == nil {
		return hosts[n%testHosts]
	}
	var refusedBy *host
	for range 2 {
		var best *host
		for i := range hosts {
			if h := hosts[(n+i)%testHosts]; h != refusedBy && (best == nil || h.reported < best.reported) {
				best = h
			}
		}
		r.transfer = &Transfer{Rule: "d", Deadline: r.deadline, TargetDeadline: r.target}
		if _, ok := best.scheduler.Admit(r.transfer, now); ok {
			best.reported += best.scheduler.timeOf(90_000)
			return best
		}
		refusedBy = best
	}
	return nil
}

// step passes on bytes, sends what the link carries in a tick, and counts the responses that end.
func (h *host) step(now time.Time, out *result) {
	kept := h.responses[:0]
	for _, r := range h.responses {
		if now.After(r.deadline) {
			h.end(r, false)
			if r.download {
				out.downloadsBroken++
			} else {
				out.callsLate++
			}
			continue
		}
		kept = append(kept, r)
		h.write(r, now)
	}
	h.responses = kept
	if h.scheduler != nil {
		pass, _ := h.scheduler.Next(now)
		for _, t := range pass {
			for _, r := range h.responses {
				if r.transfer == t {
					h.push(r, min(testChunk, r.left))
				}
			}
		}
	}
	waiting := int64(0)
	for _, c := range h.kernel {
		waiting += c.bytes
	}
	bytesPerSecond := testMegabits * 1e6 / 8.0
	out.longestQueue = max(out.longestQueue, time.Duration(float64(waiting)/bytesPerSecond*float64(time.Second)))
	h.send(now, math.Floor(bytesPerSecond*testTick.Seconds()), out)
}

// write moves bytes of a response to the kernel, or asks the scheduler for them.
func (h *host) write(r *response, now time.Time) {
	switch {
	case r.left == 0 || now.Before(r.readyAt):
	case h.scheduler == nil || !r.download:
		if n := min(r.left, testWindow-r.queued); n > 0 {
			h.push(r, n)
			if h.scheduler != nil {
				h.scheduler.Charge(n, now)
			}
		}
	case r.transfer.waiting == 0 && r.queued < testWindow:
		if !r.transfer.lengthKnown {
			h.scheduler.SetLength(r.transfer, r.left, now)
		}
		h.scheduler.Wait(r.transfer, min(testChunk, r.left))
	}
}

func (h *host) push(r *response, bytes int64) {
	r.left -= bytes
	r.queued += bytes
	h.kernel = append(h.kernel, chunk{r, bytes})
}

// send takes a number of bytes from the kernel's queue.
func (h *host) send(now time.Time, bytes float64, out *result) {
	h.credit = min(h.credit, bytes) + bytes
	for len(h.kernel) > 0 && h.credit > 0 {
		c := &h.kernel[0]
		n := min(c.bytes, int64(h.credit)+1)
		h.credit -= float64(n)
		c.bytes -= n
		c.response.queued -= n
		if c.bytes > 0 {
			continue
		}
		r := c.response
		h.kernel = h.kernel[1:]
		if r.left > 0 || r.queued > 0 || now.After(r.deadline) {
			continue
		}
		h.end(r, true)
		for i, o := range h.responses {
			if o == r {
				h.responses = append(h.responses[:i], h.responses[i+1:]...)
				break
			}
		}
		if r.download && !now.After(r.target) {
			out.downloadsOnTarget++
		}
	}
}

func (h *host) end(r *response, complete bool) {
	r.left = 0
	if r.transfer != nil {
		h.scheduler.End(r.transfer, complete)
	}
}

// TestLoadOfDownloads replays downloads that ask for 1.14 times the capacity of the links, beside short calls with a deadline of 300 ms. It
// guards against calls that wait behind downloads, and against links that are full of downloads which end too late.
func TestLoadOfDownloads(t *testing.T) {
	before, after := simulate(20, false), simulate(20, true)
	t.Logf("before: %+v", before)
	t.Logf("after: %+v", after)
	is := is.New(t)
	is.True(after.callsLate*1000 < after.calls)
	is.True(after.longestQueue < 100*time.Millisecond)
	is.True(after.downloadsOnTarget > 2*before.downloadsOnTarget)
	is.True(float64(after.downloadsOnTarget) > 0.65*float64(after.downloads))
}
