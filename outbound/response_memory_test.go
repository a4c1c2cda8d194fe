package outbound

import (
	"testing"

	"github.com/matryer/is"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/memory"
)

// TestResponsesWithoutMemory guards against sending a request whose response has no room, and against responses that are never returned to the
// budget.
func TestResponsesWithoutMemory(t *testing.T) {
	is := is.New(t)
	m := &responseMemory{budget: memory.NewBudget(250_000), expected: map[string]int64{}}
	first, second, third := &responseHold{memory: m}, &responseHold{memory: m}, &responseHold{memory: m}
	is.True(first.reserve("r", memory.Claim{}))
	first.settle(&jaypitch.MeshResponse{Execution: jaypitch.Executed, Body: make([]byte, 100_000)})
	is.True(second.reserve("r", memory.Claim{}))
	is.True(!third.reserve("r", memory.Claim{}))
	is.True(third.reserve("other", memory.Claim{}))
	second.settle(&jaypitch.MeshResponse{Execution: jaypitch.Executed, Body: make([]byte, 10)})
	is.Equal(m.expected["r"], int64(100_000-(100_000-10)/expectedDecay))
	for _, h := range []*responseHold{first, second, third} {
		h.release()
	}
	is.Equal(m.budget.Held(memory.Responses), int64(0))
}
