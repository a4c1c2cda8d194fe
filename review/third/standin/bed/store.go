// Package bed holds what the scripts of the third review share: stand-ins of the platform's store, of a backend server and of clients, and the
// sidecar processes that are under test. The stand-ins follow the users' pages.
package bed

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store stands in for the platform's store: items with revisions, paged reads and watches.
type Store struct {
	mux *http.ServeMux

	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	changed  chan struct{}
	refuses  func(link string) bool
	// silent is true while the store answers nothing, and silences counts how often it began to. What was asked before an end of silence is never answered.
	silent   bool
	silences int
	// waiting counts the watches that wait, by the link of the machine, and answered is when a link last got an answer.
	waiting  map[string]int
	answered map[string]time.Time
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"rev"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type storeAnswer struct {
	Items    []item `json:"items,omitempty"`
	Events   []item `json:"events,omitempty"`
	More     bool   `json:"hasMore"`
	Revision int64  `json:"storeRevision"`
}

const (
	// pageItems is the number of items of a page.
	pageItems = 500
	// maxWatchWait is the longest wait of a watch.
	maxWatchWait = 30 * time.Second
)

// NewStore returns a store that listens nowhere yet.
func NewStore() *Store {
	s := &Store{revision: 10, items: map[string]item{}, changed: make(chan struct{}), refuses: func(string) bool { return false }, waiting: map[string]int{}, answered: map[string]time.Time{}, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /jaypitch/kv-range", s.list)
	s.mux.HandleFunc("GET /jaypitch/kv-watch", s.watch)
	return s
}

// Listen makes the store listen on a further address and returns it with its port. Each machine has one, by which the store knows it.
func (s *Store) Listen(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, s.mux) }()
	return l.Addr().String(), nil
}

// linkOf returns the address at which a machine reached the store.
func linkOf(r *http.Request) string {
	a, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return ""
	}
	return a.String()
}

// SetRefusal sets which machines, by their links, the store turns away with 503.
func (s *Store) SetRefusal(refuses func(link string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuses = refuses
	s.wake()
}

// Put writes a value as JSON and returns the time of the acknowledgement.
func (s *Store) Put(key string, value any) time.Time {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // the values are maps of strings and numbers
	}
	return s.write(item{Key: key, Value: text})
}

// Delete removes a key and returns the time of the acknowledgement.
func (s *Store) Delete(key string) time.Time {
	return s.write(item{Key: key, Tombstone: true})
}

func (s *Store) write(i item) time.Time {
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
	return time.Now()
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetSilent sets whether the store answers nothing. What was asked before the end of the silence is never answered.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if silent {
		s.silences++
	}
	s.silent = silent
	s.wake()
}

// swallows reports whether a request that was sent when the store had been silent a number of times is never answered.
func (s *Store) swallows(silences int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent || silences != s.silences
}

// silenceCount returns how often the store has begun to be silent, without a silence that lasts, so that what is asked meanwhile is never answered.
func (s *Store) silenceCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent {
		return -1
	}
	return s.silences
}

// AnsweredSince reports whether a link got an answer since a time.
func (s *Store) AnsweredSince(link string, t time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered[link].After(t)
}

func (s *Store) recordAnswer(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answered[linkOf(r)] = time.Now()
}

// Watching returns the links of the machines that have a watch waiting.
func (s *Store) Watching() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for link, n := range s.waiting {
		if n > 0 {
			out = append(out, link)
		}
	}
	slices.Sort(out)
	return out
}

func (s *Store) addWaiting(r *http.Request, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[linkOf(r)] += n
}

func (s *Store) turnsAway(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refuses(linkOf(r))
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	if s.swallows(s.silenceCount()) {
		<-r.Context().Done()
		return
	}
	if s.turnsAway(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	a := storeAnswer{Revision: s.revision}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			a.Items = append(a.Items, i)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(a.Items, func(x, y item) int { return strings.Compare(x.Key, y.Key) })
	if len(a.Items) > pageItems {
		a.Items, a.More = a.Items[:pageItems], true
	}
	answer(w, a)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	ms, err2 := strconv.ParseInt(r.FormValue("waitMs"), 10, 64)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	silences := s.silenceCount()
	if s.swallows(silences) {
		<-r.Context().Done()
		return
	}
	s.addWaiting(r, 1)
	defer s.addWaiting(r, -1)
	end := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWatchWait))
	defer end.Stop()
	for ended := false; ; {
		if s.swallows(silences) {
			<-r.Context().Done()
			return
		}
		if s.turnsAway(r) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		a, changed := s.eventsAfter(after, r.FormValue("prefix"))
		if len(a.Events) > 0 || ended {
			s.recordAnswer(r)
			answer(w, a)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) eventsAfter(after int64, prefix string) (storeAnswer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := storeAnswer{Revision: s.revision}
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			a.Events = append(a.Events, e)
		}
	}
	return a, s.changed
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // an error means that the sidecar has left
}
