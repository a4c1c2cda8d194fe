package link

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// newTransfer returns a transfer with a target deadline; its deadline is a second later.
func newTransfer(target time.Duration) *Transfer {
	return &Transfer{Rule: "d", TargetDeadline: testStart.Add(target), Deadline: testStart.Add(target + time.Second)}
}

// TestAdmitWithinTarget guards against transfers that are accepted though the link has no room for them before their target deadline.
func TestAdmitWithinTarget(t *testing.T) {
	is := is.New(t)
	s := NewScheduler(testMegabits)
	accepted := 0
	var after time.Duration
	for range 50 {
		wait, ok := s.Admit(newTransfer(500*time.Millisecond), testStart)
		if !ok {
			after = wait
			break
		}
		accepted++
	}
	// Each of initialBytes takes 39 ms, and 0.8 of the target is 400 ms.
	is.Equal(accepted, 11)
	is.True(after > 0 && after < 100*time.Millisecond)
	t.Run("one that would be late on an idle link too is accepted if it can leave before its deadline", func(t *testing.T) {
		is := is.New(t)
		s := NewScheduler(testMegabits)
		for range 50 {
			late := newTransfer(-100 * time.Millisecond)
			if _, ok := s.Admit(late, testStart); !ok {
				break
			}
		}
		is.Equal(s.Transfers(), 23) // 39 ms each, 900 ms until the deadline
		_, ok := s.Admit(newTransfer(500*time.Millisecond), testStart)
		is.True(!ok) // all before it have earlier target deadlines
	})
	t.Run("one with an earlier target isn't accepted at the expense of the others", func(t *testing.T) {
		is := is.New(t)
		s := NewScheduler(1)
		_, ok := s.Admit(newTransfer(700*time.Millisecond), testStart)
		is.True(ok)
		_, ok = s.Admit(newTransfer(690*time.Millisecond), testStart)
		is.True(!ok)
	})
}

// TestNextOrder guards against a transfer that waits behind one with more time left, or behind one that is late anyway, and against bytes sent for one
// that can't end before its deadline.
func TestNextOrder(t *testing.T) {
	is := is.New(t)
	s := NewScheduler(testMegabits)
	s.Charge(100_000, testStart)
	late, first, second, hopeless := newTransfer(10*time.Millisecond), newTransfer(300*time.Millisecond), newTransfer(400*time.Millisecond), newTransfer(0)
	hopeless.Deadline = testStart.Add(100 * time.Millisecond)
	for _, x := range []*Transfer{second, late, first, hopeless} {
		length := int64(100_000)
		if x == hopeless {
			length = 1_000_000
		}
		s.Begin(x, length, testStart)
		s.Wait(x, testChunk)
	}
	pass, breakOff := s.Next(testStart)
	is.Equal(len(pass), 0)
	is.Equal(breakOff, []*Transfer{hopeless})
	s.End(hopeless, false)
	var order []*Transfer
	for len(order) < 3 {
		now := s.NextAt()
		pass, _ = s.Next(now)
		is.True(len(pass) > 0)
		order = append(order, pass...)
	}
	is.Equal(order, []*Transfer{first, second, late})
	is.True(s.NextAt().IsZero())
	s.End(late, false)
	s.End(first, false)
	s.End(second, false)
	is.Equal(s.Queued(), int64(0))
}

// TestStalledTransfers guards against downloads that are refused because of others whose clients don't read, and against long requests that keep
// downloads back for seconds.
func TestStalledTransfers(t *testing.T) {
	is := is.New(t)
	s := NewScheduler(testMegabits)
	for range 10 {
		s.Begin(newTransfer(400*time.Millisecond), 500_000, testStart)
	}
	is.True(s.Backlog(testStart) > 2*time.Second)
	now := testStart.Add(stallTime + 1)
	is.Equal(s.Backlog(now), time.Duration(0))
	_, ok := s.Admit(newTransfer(500*time.Millisecond), now)
	is.True(ok)
	s.Charge(60_000_000, now)
	is.True(s.freeAt.Sub(now) <= maxChargedLag)
}
