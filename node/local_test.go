package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch/schema"
)

// TestFinding checks that a finding is unconfirmed before the source was read and after a pause of the process, and confirmed in between.
func TestFinding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fleet{t: t, nodes: map[string]*Node{}, lastRevision: map[string]int64{}}
		f.start("a")
		n := f.nodes["a"]
		s := &schema.Subject{Team: "fairs", Customer: "hill"}
		is.True(!n.Find(s).Confirmed)
		n.confirmation.recordSource(0, time.Now())
		is.True(n.Find(s).Confirmed)
		time.Sleep(time.Minute)
		is.True(!n.Find(s).Confirmed) // no tick for a minute: the process counts as paused
	})
}
