package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store stands in for the platform's store: reads, watches and revisions. It loses nothing and keeps its history for 20 s. Each machine has an address of
// its own, so that the store can turn some machines away while it serves the others.
type Store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	// discarded is the revision up to which the history is no longer available.
	discarded int64
	changed   chan struct{}
	gates     map[string]*gate
}

// gate serves one machine.
type gate struct {
	store   *Store
	machine string
	handler http.Handler
	server  *http.Server

	mu       sync.Mutex
	refusing bool
	watching int
	cancel   chan struct{}
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"rev"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
	at        time.Time
}

type page struct {
	Items    []item `json:"items"`
	More     bool   `json:"hasMore"`
	Revision int64  `json:"storeRevision"`
}

type watchResponse struct {
	Events   []item `json:"events"`
	Revision int64  `json:"storeRevision"`
}

const (
	// pageItems is the number of items in one page of a read.
	pageItems = 500
	history   = 20 * time.Second
)

func newStore() *Store {
	return &Store{revision: 1, items: map[string]item{}, changed: make(chan struct{}), gates: map[string]*gate{}}
}

// open returns the address at which the store serves a machine.
func (s *Store) open(machine string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /jaypitch/kv-key", s.key)
	mux.HandleFunc("GET /jaypitch/kv-range", s.list)
	mux.HandleFunc("GET /jaypitch/kv-watch", s.watch)
	g := &gate{store: s, machine: machine, handler: mux, cancel: make(chan struct{})}
	g.server = &http.Server{Handler: g, ReadHeaderTimeout: 10 * time.Second}
	s.mu.Lock()
	s.gates[machine] = g
	s.mu.Unlock()
	go func() { _ = g.server.Serve(l) }() // ends with the program
	return l.Addr().String(), nil
}

// ServeHTTP serves one call, or answers 503 while the machine is turned away.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	refusing, cancel := g.refusing, g.cancel
	waits := strings.HasSuffix(r.URL.Path, "watch") && r.FormValue("waitMs") != "0"
	if waits && !refusing {
		g.watching++
	}
	g.mu.Unlock()
	if refusing {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !waits {
		g.handler.ServeHTTP(w, r)
		return
	}
	ctx, stop := context.WithCancel(r.Context())
	defer stop()
	go func() {
		select {
		case <-cancel:
			stop()
		case <-ctx.Done():
		}
	}()
	g.handler.ServeHTTP(w, r.WithContext(ctx))
	g.mu.Lock()
	g.watching--
	g.mu.Unlock()
}

// Refuse makes the store answer 503 to a machine, or serve it again. Watches that wait are cut.
func (s *Store) Refuse(machine string, refuse bool) {
	s.mu.Lock()
	g := s.gates[machine]
	s.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refusing = refuse
	close(g.cancel)
	g.cancel = make(chan struct{})
}

// Watching returns the machines of which a watch is waiting.
func (s *Store) Watching() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for name, g := range s.gates {
		g.mu.Lock()
		if g.watching > 0 {
			out = append(out, name)
		}
		g.mu.Unlock()
	}
	sort.Strings(out)
	return out
}

// Put writes a value as JSON.
func (s *Store) Put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // maps of strings, numbers and booleans can always be encoded
	}
	s.write(item{Key: key, Value: text})
}

// Delete removes an item.
func (s *Store) Delete(key string) {
	s.write(item{Key: key, Tombstone: true})
}

func (s *Store) write(i item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision, i.Created, i.at = s.revision, s.items[i.Key].Created, time.Now()
	if i.Created == 0 {
		i.Created = s.revision
	}
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.FormValue("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, struct {
		item
		At int64 `json:"storeRevision"`
	}{i, revision})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	out := page{Items: []item{}, Revision: s.revision}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.FormValue("prefix")) && key > r.FormValue("after") {
			out.Items = append(out.Items, i)
		}
	}
	s.mu.Unlock()
	sort.Slice(out.Items, func(a, b int) bool { return out.Items[a].Key < out.Items[b].Key })
	if len(out.Items) > pageItems {
		out.Items, out.More = out.Items[:pageItems], true
	}
	respond(w, out)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.FormValue("after"), 10, 64)
	ms, errWait := strconv.Atoi(r.FormValue("waitMs"))
	if err != nil || errWait != nil || ms > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	until := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer until.Stop()
	for waiting := true; ; {
		out, gone, changed := s.after(after, r.FormValue("prefix"))
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(out.Events) > 0 || !waiting {
			respond(w, out)
			return
		}
		select {
		case <-changed:
		case <-until.C:
			waiting = false
		case <-r.Context().Done():
			panic(http.ErrAbortHandler) // a watch that is waiting may be cut
		}
	}
}

// after returns the events after a revision, or gone if the history since then is no longer available.
func (s *Store) after(revision int64, prefix string) (out watchResponse, gone bool, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.events) > 0 && time.Since(s.events[0].at) > history {
		s.discarded = s.events[0].Revision
		s.events = s.events[1:]
	}
	out = watchResponse{Events: []item{}, Revision: s.revision}
	for _, e := range s.events {
		if e.Revision > revision && strings.HasPrefix(e.Key, prefix) {
			out.Events = append(out.Events, e)
		}
	}
	return out, revision < s.discarded, s.changed
}

func respond(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		fmt.Println("store:", err) // the reader has left
	}
}
