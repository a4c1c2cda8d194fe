package standin

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Store stands in for the platform's store of a mesh. It has items with revisions, paged reads, watches, compaction and a rate limit.
// SetFault injects faults.
type Store struct {
	ruleTimeout time.Duration

	mu       sync.Mutex
	revision int64
	oldest   int64 // a watch after an older revision fails with status 410
	items    map[string]storeItem
	events   []storeItem
	changed  chan struct{}
	fault    StoreFault
	limiter  *rate.Limiter
	requests int64
	era      int64
	pageSize int // items per page
	limits   ClientLimits
	mux      *http.ServeMux
}

// StoreFault is a fault injected into a Store.
type StoreFault struct {
	// Status is the HTTP status of every response; zero for none.
	Status int
	// Reset closes the connection of each request; Unresponsive keeps it open without a response.
	Reset, Unresponsive bool
	// StallWatches makes watches wait until their timeout and return no events, even after compaction.
	StallWatches bool
	// Delay is the time before each response.
	Delay time.Duration
	// AppliesTo reports whether the fault affects a remote address; nil means all.
	AppliesTo func(remote string) bool
}

// ClientLimits are the limits of a configuration for clients; zero means no limit.
type ClientLimits struct {
	HeadBytes, BodyBytes int64
	// HeadS is the time for a head, IdleS the time between two requests, in seconds.
	HeadS, IdleS float64
}

// defaultBodyBytes is the limit for bodies of a configuration whose limits aren't set.
const defaultBodyBytes = 1000

// ConfigKey is the key of the mesh configuration.
const ConfigKey = "op/config"

type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"rev"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type storeResponse struct {
	Items    []storeItem `json:"items,omitempty"`
	Events   []storeItem `json:"events,omitempty"`
	More     bool        `json:"hasMore"`
	Revision int64       `json:"storeRevision"`
}

// NewStore returns a store that serves readsPerSecond requests per second and lists pageSize items at a time.
func NewStore(readsPerSecond, pageSize int) *Store {
	s := &Store{ruleTimeout: 2 * time.Second, revision: 1, era: 1, limits: ClientLimits{BodyBytes: defaultBodyBytes}, items: map[string]storeItem{}, changed: make(chan struct{}), pageSize: pageSize,
		limiter: rate.NewLimiter(rate.Limit(readsPerSecond), readsPerSecond), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /jaypitch/kv-key", s.key)
	s.mux.HandleFunc("GET /jaypitch/kv-range", s.list)
	s.mux.HandleFunc("GET /jaypitch/kv-watch", s.watch)
	return s
}

// SetRuleTimeout sets the timeout of the rules of configurations that PutConfig writes from now on. It is two seconds before.
func (s *Store) SetRuleTimeout(d time.Duration) {
	s.ruleTimeout = d
}

// Put writes an item and returns its revision.
func (s *Store) Put(key string, value []byte) int64 {
	return s.write(storeItem{Key: key, Value: value})
}

// SetClientLimits sets the limits of the configurations that PutConfig writes from now on.
func (s *Store) SetClientLimits(l ClientLimits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
}

// PutConfig writes a mesh configuration with one rule for each path prefix. The rules send requests with the host name to the service and
// declare them idempotent.
func (s *Store) PutConfig(version int, host, service string, prefixes ...string) int64 {
	return s.putConfig(version, host, service, "idempotent", prefixes)
}

// PutDownloadConfig is PutConfig with rules of large responses.
func (s *Store) PutDownloadConfig(version int, host, service string, prefixes ...string) int64 {
	return s.putConfig(version, host, service, "download", prefixes)
}

func (s *Store) putConfig(version int, host, service, kind string, prefixes []string) int64 {
	var rules []map[string]any
	for _, p := range prefixes {
		rules = append(rules, map[string]any{"name": p, "kind": kind, "targetLatencyS": 0.5, "priority": 1, "match": map[string]any{"prefix": p},
			"action": map[string]any{"service": service, "timeoutS": s.ruleTimeout.Seconds(), "maxAttempts": 2}})
	}
	return s.putJSON(ConfigKey, map[string]any{"version": "r" + strconv.Itoa(version), "limits": s.encodedLimits(),
		"listeners": []any{map[string]any{"host": host, "routeRules": rules}}, "clusters": []any{map[string]any{"name": service}}})
}

func (s *Store) encodedLimits() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]any{"maxHeaderBytes": s.limits.HeadBytes, "maxBodyBytes": s.limits.BodyBytes, "headerTimeoutS": s.limits.HeadS, "idleTimeoutS": s.limits.IdleS}
}

// PutServer writes a server's entry.
func (s *Store) PutServer(id, address, service, state string, slots int) int64 {
	return s.putJSON("servers/"+id, map[string]any{"address": address, "info": map[string]any{"service": service, "version": "v1", "zone": "z", "slots": slots},
		"status": map[string]any{"state": state, "seq": 1, "coldRemainingS": 0}})
}

// RemoveServer removes a server's entry.
func (s *Store) RemoveServer(id string) int64 {
	return s.Delete("servers/" + id)
}

func (s *Store) putJSON(key string, value map[string]any) int64 {
	text, err := json.Marshal(value)
	if err != nil {
		// Maps of strings, numbers and booleans can always be encoded.
		panic(err)
	}
	return s.Put(key, text)
}

// Delete removes an item, records a tombstone as its event and returns the revision.
func (s *Store) Delete(key string) int64 {
	return s.write(storeItem{Key: key, Tombstone: true})
}

// Compact removes all events. Watches after an earlier revision end with status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest, s.events = s.revision, nil
	s.wake()
}

// StoreCopy is a copy of a store's content.
type StoreCopy struct {
	revision int64
	items    map[string]storeItem
}

// Copy returns a copy of the content.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{revision: s.revision, items: maps.Clone(s.items)}
}

// Restore replaces the content by a copy, and begins a new era. Later revisions are given out again, and watches after a later
// revision than the copy's end with status 410.
func (s *Store) Restore(c StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.oldest, s.items, s.events = c.revision, c.revision, maps.Clone(c.items), nil
	s.wake()
}

// SetFault replaces the injected fault; the zero StoreFault ends it.
func (s *Store) SetFault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wake()
}

// Requests returns the number of requests, including those that failed because of a fault or the rate limit.
func (s *Store) Requests() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// ServeHTTP serves one request, or applies the fault or the rate limit to it.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f, allowed, era := s.countRequest()
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
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

func (s *Store) countRequest() (StoreFault, bool, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	return s.fault, s.limiter.Allow(), s.era
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
	response := struct {
		storeItem
		At int64 `json:"storeRevision"`
	}{i, s.revision}
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeStoreResponse(w, response)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	res := storeResponse{Revision: s.revision}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			res.Items = append(res.Items, i)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(res.Items, func(x, y storeItem) int { return strings.Compare(x.Key, y.Key) })
	if len(res.Items) > s.pageSize {
		res.Items, res.More = res.Items[:s.pageSize], true
	}
	writeStoreResponse(w, res)
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
		res, era, compacted, changed := s.eventsAfter(after, r.FormValue("prefix"))
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		if compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(res.Events) > 0 || ctx.Err() != nil {
			writeStoreResponse(w, res)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (s *Store) eventsAfter(after int64, prefix string) (res storeResponse, era int64, compacted bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.StallWatches {
		return storeResponse{Revision: after}, s.era, false, s.changed
	}
	res = storeResponse{Revision: s.revision}
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			res.Events = append(res.Events, e)
		}
	}
	return res, s.era, after < s.oldest || after > s.revision, s.changed
}

func writeStoreResponse(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client closed the connection.
	_ = json.NewEncoder(w).Encode(v)
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
