package sidecar

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
)

// TestConfirmationsEcho guards against two sidecars that confirm each other for ever, since the time on the way is missing in the ages that they
// report.
func TestConfirmationsEcho(t *testing.T) {
	is := is.New(t)
	const onTheWay, serviceTime = 30 * time.Millisecond, 50 * time.Millisecond
	now := time.Unix(1000, 0)
	a, b := &confirmation{now: func() time.Time { return now }}, &confirmation{now: func() time.Time { return now }}
	confirmedByStore := now
	a.confirm(confirmedByStore)
	for range 100 {
		r := &jaypitch.MeshResponse{ServiceTime: serviceTime, NetworkTime: 2 * onTheWay}
		now = now.Add(onTheWay + serviceTime)
		r.LoadReport.SourceAge = a.age()
		now = now.Add(onTheWay)
		b.confirm(now.Add(-reportedAge(r)))
		a, b = b, a
	}
	is.True(!a.at.After(confirmedByStore))
	is.True(!b.at.After(confirmedByStore))
	is.True(a.age() > staleAge)
}
