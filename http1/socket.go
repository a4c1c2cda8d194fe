package http1

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// socket is a TCP connection whose reader learns of a reset also if a concurrent write took the error. The kernel reports an error of a connection
// once, to the read or write that comes first; a later read gets the end of the stream, by which a response without a length is complete.
type socket struct {
	tcp *net.TCPConn
	raw syscall.RawConn

	// mu is held during a write.
	mu sync.Mutex
	// writeErr is the error of the first write that failed.
	writeErr error
}

func newSocket(c *net.TCPConn) (*socket, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	return &socket{tcp: c, raw: raw}, nil
}

// Write writes to the connection.
func (s *socket) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := s.tcp.Write(p)
	if err != nil && s.writeErr == nil {
		s.writeErr = err
	}
	return n, err
}

// Read reads from the connection. It returns io.EOF only if the other side ended the stream.
func (s *socket) Read(p []byte) (int, error) {
	n, err := s.tcp.Read(p)
	if err == io.EOF && !s.endedByPeer() {
		if writeErr := s.takenError(); writeErr != nil {
			err = writeErr
		}
	}
	return n, err
}

// endedByPeer reports whether the other side has ended the stream and the connection is still open.
func (s *socket) endedByPeer() bool {
	ended := false
	err := s.raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return err == nil && ended
}

// takenError returns the connection's error if a write took it. The connection is closed, so that a write in progress ends at once.
func (s *socket) takenError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	// EPIPE is the error of a reset after the end of the stream.
	if errors.Is(s.writeErr, syscall.EPIPE) {
		return nil
	}
	return s.writeErr
}

// idle reports whether the connection is open and has nothing to read.
func (s *socket) idle() bool {
	open := false
	err := s.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = e == syscall.EAGAIN
		return true
	})
	return err == nil && open
}

// abort makes pending and later reads and writes fail.
func (s *socket) abort() {
	_ = s.tcp.SetDeadline(time.Unix(1, 0))
}

func (s *socket) close() {
	_ = s.tcp.Close()
}
