package outbound

import (
	"sync"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/memory"
)

// responseMemory reserves the memory of responses before their requests are sent: a request that has been executed can't be refused any more.
// What a response takes is learned by rule. It is safe for concurrent use.
type responseMemory struct {
	budget *memory.Budget

	mu sync.Mutex
	// expected is the size of a rule's larger responses in bytes: it follows a larger one at once, and smaller ones slowly.
	expected map[string]int64
}

// responseHold is the memory of one response.
type responseHold struct {
	memory *responseMemory
	rule   string
	bytes  int64
}

const (
	// streamBytes is what a streamed response takes besides its first part: the buffer of the copy and that of the connection.
	streamBytes = 40 << 10
	// freeBytes is the size up to which a response needs no reservation: the buffers of its connection hold it.
	freeBytes = 4 << 10
	// expectedDecay is the divisor by which the expected size approaches smaller responses, with each of them.
	expectedDecay = 16
)

// reserve reserves the expected size of the rule's responses and reports whether there was room for it.
func (h *responseHold) reserve(rule string, c memory.Claim) bool {
	h.memory.mu.Lock()
	c.Bytes = h.memory.expected[rule]
	h.memory.mu.Unlock()
	h.rule = rule
	if c.Bytes <= freeBytes {
		return true
	}
	if !h.memory.budget.ReserveBody(memory.Responses, c) {
		return false
	}
	h.bytes = c.Bytes
	return true
}

// settle replaces the expected size by that of the response.
func (h *responseHold) settle(r *jaypitch.MeshResponse) {
	bytes := int64(len(r.Body))
	if r.Stream != nil {
		bytes += streamBytes
	}
	h.memory.budget.Hold(memory.Responses, bytes-h.bytes)
	h.bytes = bytes
	if r.Execution != jaypitch.Executed {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	e := h.memory.expected[h.rule]
	h.memory.expected[h.rule] = max(bytes, e-(e-bytes)/expectedDecay)
}

func (h *responseHold) release() {
	h.memory.budget.Release(memory.Responses, h.bytes)
	h.bytes = 0
}
