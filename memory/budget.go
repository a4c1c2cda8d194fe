// Package memory owns the memory budget of a process. What grows with clients reserves from it before bytes are read. Admits decides who is
// refused when it is short.
package memory

import (
	"sync"
	"sync/atomic"
)

// Holder is a kind of use that holds memory.
type Holder int

// Budget bounds the bytes that the holders of a process hold together. It is safe for concurrent use.
type Budget struct {
	limit   int64
	held    atomic.Int64
	holders [holderCount]struct{ held, refusals atomic.Int64 }

	// collect frees the garbage, which counts the bytes of released bodies since the last call: they take memory until then.
	collect    func()
	garbage    atomic.Int64
	collecting sync.Mutex
}

// Option configures a Budget.
type Option func(*Budget)

// Limits are the limits of a process, in bytes.
type Limits struct {
	// Runtime is the limit for the Go runtime, for debug.SetMemoryLimit. Budget is the limit of the holders.
	Runtime, Budget int64
}

const (
	// SenderBodies are the bodies of clients' requests.
	SenderBodies Holder = iota
	// ReceiverBodies are the bodies of requests that other sidecars sent.
	ReceiverBodies
	// Heads are the heads of requests, with what they cost as maps and strings.
	Heads
	// Connections are the buffers and stacks of the listeners' connections.
	Connections
	// Responses are the buffered parts of responses, from before their requests are sent until they are written.
	Responses

	holderCount
)

const (
	mebibyte = 1 << 20
	// peakPercent is the share of the allowed memory that a process may hold at its peak.
	peakPercent = 80
	// fileBytes is the memory that the Go runtime doesn't count: the resident pages of the program's file, 11.4 MiB in an idle process.
	fileBytes = 12 * mebibyte
	// baseBytes is what the runtime holds besides the holders: an idle process, the replica, and the garbage of short requests.
	baseBytes = 11 * mebibyte
	// garbageShare is the divisor of the limit up to which garbage is left alone, so that a collection frees enough for its cost.
	garbageShare = 16
	// minGarbageBytes is the size from which a released body counts as garbage. Smaller ones are part of baseBytes.
	minGarbageBytes = 64 << 10
)

// LimitsOf returns the limits of a process that may use memoryMB megabytes. Half of the peak is the least for the runtime, and a quarter for the
// holders, however little that is.
func LimitsOf(memoryMB int64) Limits {
	peak := memoryMB * mebibyte * peakPercent / 100
	runtime := max(peak-fileBytes, peak/2)
	return Limits{Runtime: runtime, Budget: max(runtime-baseBytes, peak/4)}
}

// WithCollector sets the function that frees the memory of released bodies.
func WithCollector(collect func()) Option {
	return func(b *Budget) { b.collect = collect }
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(limit int64, options ...Option) *Budget {
	b := &Budget{limit: limit, collect: func() {}}
	for _, o := range options {
		o(b)
	}
	return b
}

// Holders returns all holders.
func Holders() []Holder {
	return []Holder{SenderBodies, ReceiverBodies, Heads, Connections, Responses}
}

// String returns the name of a holder in metrics.
func (h Holder) String() string {
	return [holderCount]string{"sender_bodies", "receiver_bodies", "heads", "connections", "responses"}[h]
}

// Reserve reserves bytes for a holder and reports whether the budget had room for them.
func (b *Budget) Reserve(h Holder, bytes int64) bool {
	if b.held.Add(bytes) > b.limit {
		b.held.Add(-bytes)
		b.holders[h].refusals.Add(1)
		return false
	}
	b.holders[h].held.Add(bytes)
	return true
}

// Hold counts bytes that are held already, even if that exceeds the limit: it makes the budget refuse others.
func (b *Budget) Hold(h Holder, bytes int64) {
	b.held.Add(bytes)
	b.holders[h].held.Add(bytes)
}

// ReserveBody reserves the bytes of a claim and reports whether Admits grants it.
func (b *Budget) ReserveBody(h Holder, c Claim) bool {
	// The claim is added first, so that claims at the same time don't exceed the limit together.
	held := b.held.Add(c.Bytes) - c.Bytes
	if !Admits(Usage{Limit: b.limit, Held: held, Bodies: b.bodies()}, c) {
		b.held.Add(-c.Bytes)
		b.holders[h].refusals.Add(1)
		return false
	}
	b.holders[h].held.Add(c.Bytes)
	if g := b.garbage.Load(); g > b.limit/garbageShare && b.held.Load()+g > b.limit {
		b.collectGarbage()
	}
	return true
}

// bodies returns the bytes that bodies of requests and responses hold.
func (b *Budget) bodies() int64 {
	return b.holders[SenderBodies].held.Load() + b.holders[ReceiverBodies].held.Load() + b.holders[Responses].held.Load()
}

// collectGarbage frees the memory of released bodies before their bytes are used again, since they would take memory twice until then.
func (b *Budget) collectGarbage() {
	b.collecting.Lock()
	defer b.collecting.Unlock()
	if n := b.garbage.Load(); b.held.Load()+n > b.limit {
		b.collect()
		b.garbage.Add(-n)
	}
}

// Release returns the bytes of a holder.
func (b *Budget) Release(h Holder, bytes int64) {
	if h <= ReceiverBodies && bytes >= minGarbageBytes {
		b.garbage.Add(bytes)
	}
	b.holders[h].held.Add(-bytes)
	b.held.Add(-bytes)
}

// Scarce reports whether less than a quarter of the budget is free.
func (b *Budget) Scarce() bool {
	return b.held.Load() > b.limit-b.limit/4
}

// Limit returns the limit in bytes.
func (b *Budget) Limit() int64 {
	return b.limit
}

// Held returns the bytes that a holder holds.
func (b *Budget) Held(h Holder) int64 {
	return b.holders[h].held.Load()
}

// Refusals returns how often a holder got no memory.
func (b *Budget) Refusals(h Holder) int64 {
	return b.holders[h].refusals.Load()
}
