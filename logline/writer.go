// Package logline describes the log lines of a sidecar, limits their rate and writes them without blocking on the output.
package logline

import (
	"io"
	"sync/atomic"
	"time"
)

// Writer queues lines for a goroutine that writes them. If the queue is full, it drops the line and counts it.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	pending atomic.Int64
}

const (
	// queueLength is how many lines the queue holds.
	queueLength = 512
	// syncTimeout limits the wait of Sync, since an output that nobody reads blocks forever.
	syncTimeout = 100 * time.Millisecond
)

// NewWriter returns a writer to out and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLength)}
	go w.run()
	return w
}

// Write queues a copy of one line. It never blocks or fails.
func (w *Writer) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
		w.pending.Add(1)
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Sync waits up to syncTimeout for the queued lines, so that the last lines of a process are written.
func (w *Writer) Sync() error {
	for limit := time.Now().Add(syncTimeout); w.pending.Load() > 0 && time.Now().Before(limit); {
		time.Sleep(syncTimeout / 50)
	}
	return nil
}

// Dropped returns the number of lines that were not written, because the queue was full or the output failed.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

func (w *Writer) run() {
	for line := range w.lines {
		// A failure of the output can't be logged, so the line only counts as dropped.
		if _, err := w.out.Write(line); err != nil {
			w.dropped.Add(1)
		}
		w.pending.Add(-1)
	}
}
