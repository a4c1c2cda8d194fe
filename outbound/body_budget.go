package outbound

import (
	"errors"
	"io"
	"sync/atomic"
)

// bodyBudget bounds the bytes of request bodies in memory. It is safe for concurrent use.
type bodyBudget struct {
	limit int64
	used  atomic.Int64
}

// budgetedBody reads a body whose bytes are reserved in a budget before they are read.
type budgetedBody struct {
	budget *bodyBudget
	reader io.Reader
	// reserved and read count bytes.
	reserved, read int64
}

const (
	// minBodyBytes is the number of bytes that is reserved for a body at least, since its length may be unknown.
	minBodyBytes = 4 << 10
	// reserveStep is how many bytes are reserved at a time for a body that is longer than was reserved for it.
	reserveStep = 64 << 10
)

var errBodyBudget = errors.New("the budget for request bodies in memory has no room for this one")

// release returns the bytes of a body to the budget.
func (b *bodyBudget) release(bytes int) {
	b.used.Add(-int64(bytes))
}

// reserve reserves further bytes and reports whether the budget has room for them.
func (r *budgetedBody) reserve(bytes int64) bool {
	if r.budget.used.Add(bytes) > r.budget.limit {
		r.budget.used.Add(-bytes)
		return false
	}
	r.reserved += bytes
	return true
}

// settle returns what was reserved and not read to the budget.
func (r *budgetedBody) settle() {
	r.budget.used.Add(r.read - r.reserved)
	r.reserved = r.read
}

// Read returns errBodyBudget if the budget has no room for more of the body.
func (r *budgetedBody) Read(p []byte) (int, error) {
	if r.read == r.reserved && !r.reserve(reserveStep) {
		return 0, errBodyBudget
	}
	n, err := r.reader.Read(p[:min(int64(len(p)), r.reserved-r.read)])
	r.read += int64(n)
	return n, err
}
