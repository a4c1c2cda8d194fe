package standin

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jaypitch/jaypitch"
	"github.com/jaypitch/jaypitch/schema"
)

// SilentSource is a store of servers without a network, for tests in virtual time. While it is silent it responds to nothing, and never to a request that
// was in progress then. It implements jaypitch.MeshSource.
type SilentSource struct {
	// timeout is how long a request that gets no response takes, in addition to its wait.
	timeout time.Duration

	mu       sync.Mutex
	revision int64
	servers  map[string]*schema.MeshServer
	silent   bool
	// silences counts how often the store became silent.
	silences int
	// waiting is the number of watches that wait and will be responded to.
	waiting int
}

// silentTick is how often a watch looks for changes.
const silentTick = time.Millisecond

var (
	_         jaypitch.MeshSource = (*SilentSource)(nil)
	errSilent                     = errors.New("the store is silent")
)

// NewSilentSource returns an empty store that responds. A request that gets no response fails after its wait and a timeout.
func NewSilentSource(timeout time.Duration) *SilentSource {
	return &SilentSource{timeout: timeout, revision: 1, servers: map[string]*schema.MeshServer{}}
}

func (s *SilentSource) put(v *schema.MeshServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	v.Revision = s.revision
	s.servers[v.GetId()] = v
}

// List writes the entry of a server. The ID is the last part of its address.
func (s *SilentSource) List(id string) {
	s.put(&schema.MeshServer{Id: id, Service: "x", Address: "10.0.0." + id + ":80", DataCentre: "z", Slots: 1})
}

// Remove replaces the entry of a server by a tombstone.
func (s *SilentSource) Remove(id string) {
	s.put(&schema.MeshServer{Id: id, Gone: true})
}

// SetSilent sets whether the store responds to nothing.
func (s *SilentSource) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	if silent {
		s.silences++
		s.waiting = 0
	}
}

// Waiting returns the number of watches that wait and will be responded to.
func (s *SilentSource) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.waiting
}

// begin begins a request. It returns what end and responds take: how often the store had become silent, or -1 if it is silent.
func (s *SilentSource) begin() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return -1
	}
	s.waiting++
	return s.silences
}

// responds reports whether a request gets a response: the store hasn't become silent since it began.
func (s *SilentSource) responds(silences int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return silences == s.silences
}

// end ends a request. It fails after the timeout if the request gets no response.
func (s *SilentSource) end(ctx context.Context, silences int) error {
	if !s.responds(silences) {
		_ = jaypitch.Sleep(ctx, s.timeout)
		return errSilent
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	return ctx.Err()
}

// Changes returns the entries after a revision.
func (s *SilentSource) Changes(after int64) jaypitch.MeshUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := jaypitch.MeshUpdate{Revision: s.revision}
	for _, v := range s.servers {
		if v.GetRevision() > after {
			u.Servers = append(u.Servers, v)
		}
	}
	return u
}

// Read implements jaypitch.MeshSource.
func (s *SilentSource) Read(ctx context.Context, _ func(jaypitch.MeshUpdate) bool) (jaypitch.MeshUpdate, error) {
	if err := s.end(ctx, s.begin()); err != nil {
		return jaypitch.MeshUpdate{}, err
	}
	u := s.Changes(0)
	u.Full = true
	return u, nil
}

// Watch implements jaypitch.MeshSource.
func (s *SilentSource) Watch(ctx context.Context, after int64, deadline time.Time) (jaypitch.MeshUpdate, error) {
	silences := s.begin()
	for ctx.Err() == nil && time.Now().Before(deadline) && !(s.responds(silences) && len(s.Changes(after).Servers) > 0) {
		_ = jaypitch.Sleep(ctx, silentTick)
	}
	if err := s.end(ctx, silences); err != nil {
		return jaypitch.MeshUpdate{}, err
	}
	return s.Changes(after), nil
}
