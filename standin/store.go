package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Store is the platform's store of a mesh: items with revisions, reads in pages, watches, a history that can be
// dropped, a rate limit. It is made to fail by SetFault.
type Store struct {
	mu       sync.Mutex
	revision int64
	oldest   int64
	items    map[string]storeItem
	events   []storeItem
	changed  chan struct{}
	fault    StoreFault
	limiter  *rate.Limiter
	calls    int64
	page     int
	mux      *http.ServeMux
}

// StoreFault is how the store fails.
type StoreFault struct {
	// Status is answered in place of everything; 0 for none.
	Status int
	// Reset closes connections, Unresponsive never answers.
	Reset, Unresponsive bool
	// StallWatches keeps watches from hearing anything.
	StallWatches bool
	// Delay is a time before each answer.
	Delay time.Duration
	// AppliesTo says which remote addresses the fault is for; nil for all.
	AppliesTo func(remote string) bool
}

// ConfigKey is where the operator's configuration lies.
const ConfigKey = "op/config"

type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"rev"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type storeAnswer struct {
	Items    []storeItem `json:"items,omitempty"`
	Events   []storeItem `json:"events,omitempty"`
	More     bool        `json:"hasMore"`
	Revision int64       `json:"storeRevision"`
}

// NewStore makes a store that answers so many reads a second, with pages of so many items.
func NewStore(readsPerSecond, page int) *Store {
	s := &Store{revision: 1, items: map[string]storeItem{}, changed: make(chan struct{}), page: page,
		limiter: rate.NewLimiter(rate.Limit(readsPerSecond), readsPerSecond), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /jaypitch/kv-key", s.key)
	s.mux.HandleFunc("GET /jaypitch/kv-range", s.list)
	s.mux.HandleFunc("GET /jaypitch/kv-watch", s.watch)
	return s
}

// Put writes an item, as an operator or a server does, and returns its revision.
func (s *Store) Put(key string, value []byte) int64 {
	return s.write(storeItem{Key: key, Value: value})
}

// PutConfig writes a configuration whose rules send each prefix of a host to one service, as idempotent requests.
func (s *Store) PutConfig(version int, host, service string, prefixes ...string) int64 {
	var rules []map[string]any
	for _, p := range prefixes {
		rules = append(rules, map[string]any{"name": p, "kind": "idempotent", "targetLatencyS": 0.5, "priority": 1, "match": map[string]any{"prefix": p},
			"action": map[string]any{"service": service, "timeoutS": 2, "maxAttempts": 2}})
	}
	return s.putJSON(ConfigKey, map[string]any{"version": "r" + strconv.Itoa(version), "limits": map[string]any{"maxBodyBytes": 1000},
		"listeners": []any{map[string]any{"host": host, "routeRules": rules}}, "clusters": []any{map[string]any{"name": service}}})
}

// PutServer writes a server's entry.
func (s *Store) PutServer(id, address, service, state string, slots int) int64 {
	return s.putJSON("servers/"+id, map[string]any{"address": address, "info": map[string]any{"service": service, "zone": "z", "slots": slots},
		"status": map[string]any{"state": state, "seq": 1, "coldRemainingS": 0}})
}

// RemoveServer removes a server's entry.
func (s *Store) RemoveServer(id string) int64 {
	return s.Delete("servers/" + id)
}

func (s *Store) putJSON(key string, value map[string]any) int64 {
	text, err := json.Marshal(value)
	if err != nil {
		// Maps of plain values can always be written.
		panic(err)
	}
	return s.Put(key, text)
}

// Delete removes an item.
func (s *Store) Delete(key string) int64 {
	return s.write(storeItem{Key: key, Tombstone: true})
}

// Compact forgets all events up to now, and cuts the watches that wait.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest, s.events = s.revision, nil
	s.wake()
}

// SetFault makes the store fail from now on, for all or for some.
func (s *Store) SetFault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wake()
}

// Requests returns the number of calls, refused ones among them.
func (s *Store) Requests() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f, allowed := s.enter()
	if f.AppliesTo != nil && !f.AppliesTo(r.RemoteAddr) {
		f = StoreFault{}
	}
	wait(r.Context(), f.Delay)
	switch {
	case f.Unresponsive:
		<-r.Context().Done()
	case f.Reset:
		panic(http.ErrAbortHandler)
	case f.Status != 0:
		w.WriteHeader(f.Status)
	case !allowed:
		w.WriteHeader(http.StatusTooManyRequests)
	default:
		s.mux.ServeHTTP(w, r)
	}
}

func (s *Store) enter() (StoreFault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.fault, s.limiter.Allow()
}

func (s *Store) write(i storeItem) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision, i.Created = s.revision, s.items[i.Key].Created
	if i.Created == 0 {
		i.Created = s.revision
	}
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
	s.wake()
	return s.revision
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.FormValue("key")]
	answer := struct {
		storeItem
		At int64 `json:"storeRevision"`
	}{i, s.revision}
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answerStore(w, answer)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	a := storeAnswer{Revision: s.revision}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			a.Items = append(a.Items, i)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(a.Items, func(x, y storeItem) int { return strings.Compare(x.Key, y.Key) })
	if len(a.Items) > s.page {
		a.Items, a.More = a.Items[:s.page], true
	}
	answerStore(w, a)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	ms, err2 := strconv.ParseInt(r.FormValue("waitMs"), 10, 64)
	if err != nil || err2 != nil || ms > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	defer cancel()
	for {
		a, gone, changed := s.since(after, r.FormValue("prefix"))
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(a.Events) > 0 || ctx.Err() != nil {
			answerStore(w, a)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *Store) since(after int64, prefix string) (storeAnswer, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.StallWatches {
		return storeAnswer{Revision: after}, false, s.changed
	}
	a := storeAnswer{Revision: s.revision}
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			a.Events = append(a.Events, e)
		}
	}
	return a, after < s.oldest, s.changed
}

func answerStore(w http.ResponseWriter, a any) {
	w.Header().Set("Content-Type", "application/json")
	// A reader that left is no failure of the stand-in.
	_ = json.NewEncoder(w).Encode(a)
}

func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
