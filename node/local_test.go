package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch/schema"
)

// TestFinding checks what a node says of itself as evidence before and after it is confirmed.
func TestFinding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := &fleet{t: t, nodes: map[string]*Node{}, held: map[string]int64{}}
		f.start("a")
		n := f.nodes["a"]
		s := &schema.Subject{Team: "fairs", Customer: "hill"}
		is.True(!n.Find(s).Confirmed)
		n.trust.source(0, time.Now())
		is.True(n.Find(s).Confirmed)
		time.Sleep(time.Minute)
		is.True(!n.Find(s).Confirmed) // paused since
	})
}
