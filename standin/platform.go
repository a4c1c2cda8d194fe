// Package standin implements substitutes for the systems that jaypitch connects to: the platform's stores and the backend
// servers. Tests, the demo and the benchmarks run against them. Platform and Server are for the node family, Store and MeshServer
// for the sidecar family.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/jaypitch/jaypitch/schema"
)

// Platform stands in for the source of the node family. It holds the collections of team settings and host lists, each with its own revisions.
// The endpoints under /admin/ write values and inject faults.
type Platform struct {
	mu          sync.Mutex
	collections map[string]*collection
	fault       Fault
	limiter     *rate.Limiter
	requests    int64
	refused     int64
	mux         *http.ServeMux
}

// Fault is a fault injected into a Platform.
type Fault struct {
	// Down makes the platform respond to every read with 503.
	Down bool `json:"down"`
	// Stale makes the platform serve the content as of the time when the fault was set.
	Stale   bool  `json:"stale"`
	DelayMS int64 `json:"slow_ms"`
}

// Counts are the counters of a Platform.
type Counts struct {
	Requests int64 `json:"calls"`
	Refused  int64 `json:"refused"`
}

type collection struct {
	revision      int64
	oldest        int64 // a watch after an older revision gets a response with compacted set
	values        map[string]*schema.SourceChange
	stale         map[string]*schema.SourceChange // copy of values that is served while Fault.Stale is set, else nil
	staleRevision int64
	changed       chan struct{}
}

const (
	maxValueBytes = 1 << 20
	maxWait       = 5 * time.Minute
)

// NewPlatform returns a platform that serves at most that many reads per second.
func NewPlatform(readsPerSecond int) *Platform {
	p := &Platform{collections: map[string]*collection{}, limiter: rate.NewLimiter(rate.Limit(readsPerSecond), readsPerSecond), mux: http.NewServeMux()}
	for _, name := range []string{"teams", "hosts"} {
		p.collections[name] = &collection{values: map[string]*schema.SourceChange{}, changed: make(chan struct{})}
	}
	p.mux.HandleFunc("GET /v1/{collection}/watch", p.read(p.watch))
	p.mux.HandleFunc("GET /v1/{collection}/list", p.read(p.list))
	p.mux.HandleFunc("GET /v1/{collection}/value", p.read(p.value))
	p.mux.HandleFunc("PUT /admin/{collection}/{name}", p.put)
	p.mux.HandleFunc("DELETE /admin/{collection}/{name}", p.remove)
	p.mux.HandleFunc("POST /admin/fault", p.setFault)
	p.mux.HandleFunc("POST /admin/compact", p.compact)
	p.mux.HandleFunc("GET /admin/counts", p.counts)
	return p
}

// ServeHTTP serves the reads under /v1/ and the endpoints under /admin/.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

// Put writes a value to the named collection, teams or hosts, and returns its revision.
func (p *Platform) Put(name, key string, body []byte) int64 {
	return p.write(name, &schema.SourceChange{Key: key, Body: body})
}

// Delete replaces a value of the named collection by a tombstone and returns its revision.
func (p *Platform) Delete(name, key string) int64 {
	return p.write(name, &schema.SourceChange{Key: key, Deleted: true})
}

// SetFault replaces the injected fault; the zero Fault ends it.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.collections {
		if f.Stale && c.stale == nil {
			c.stale, c.staleRevision = map[string]*schema.SourceChange{}, c.revision
			for k, v := range c.values {
				c.stale[k] = v
			}
		}
		if !f.Stale {
			c.stale = nil
		}
		c.wake()
	}
	p.fault = f
}

// Compact removes the history and the tombstones.
func (p *Platform) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.collections {
		c.oldest = c.revision
		for k, v := range c.values {
			if v.GetDeleted() {
				delete(c.values, k)
			}
		}
		c.wake()
	}
}

// Counts returns the counters.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Counts{Requests: p.requests, Refused: p.refused}
}

func (p *Platform) write(name string, v *schema.SourceChange) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.collections[name]
	c.revision++
	v.Revision = c.revision
	c.values[v.GetKey()] = v
	c.wake()
	return c.revision
}

func (c *collection) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// view returns the values and the revision that are served.
func (c *collection) view() (map[string]*schema.SourceChange, int64) {
	if c.stale != nil {
		return c.stale, c.staleRevision
	}
	return c.values, c.revision
}

// read wraps the handler of a read. It counts the request, and applies the fault and the rate limit.
func (p *Platform) read(next func(http.ResponseWriter, *http.Request, *collection)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.requests++
		fault, c := p.fault, p.collections[r.PathValue("collection")]
		allowed := p.limiter.Allow()
		if !allowed {
			p.refused++
		}
		p.mu.Unlock()
		time.Sleep(time.Duration(fault.DelayMS) * time.Millisecond)
		switch {
		case fault.Down:
			http.Error(w, "down", http.StatusServiceUnavailable)
		case !allowed:
			http.Error(w, "too many calls", http.StatusTooManyRequests)
		case c == nil:
			http.NotFound(w, r)
		default:
			next(w, r, c)
		}
	}
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request, c *collection) {
	after, err1 := strconv.ParseInt(r.FormValue("after"), 10, 64)
	ms, err2 := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	if err1 != nil || err2 != nil {
		http.Error(w, "after and wait_ms must be numbers", http.StatusBadRequest)
		return
	}
	t := time.NewTimer(min(time.Duration(ms)*time.Millisecond, maxWait))
	defer t.Stop()
	for ended := false; ; {
		m, down, changed := p.changesAfter(c, after, ended)
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if m != nil {
			send(w, m)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-t.C:
			ended = true
		}
	}
}

// changesAfter returns the response of a watch, or nil and a channel that closes at the next change. If the watch has ended,
// it returns a response with the current revision even if nothing changed.
func (p *Platform) changesAfter(c *collection, after int64, ended bool) (m *schema.SourceChanges, down bool, changed chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	values, revision := c.view()
	if p.fault.Down {
		return nil, true, nil
	}
	if after < c.oldest {
		return &schema.SourceChanges{Revision: revision, Compacted: true}, false, nil
	}
	if revision < after {
		return &schema.SourceChanges{Revision: revision}, false, nil
	}
	m = &schema.SourceChanges{Revision: revision}
	for _, v := range values {
		if v.GetRevision() > after {
			m.Changes = append(m.Changes, v)
		}
	}
	if len(m.GetChanges()) == 0 && !ended {
		return nil, false, c.changed
	}
	slices.SortFunc(m.GetChanges(), func(a, b *schema.SourceChange) int { return int(a.GetRevision() - b.GetRevision()) })
	return m, false, nil
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request, c *collection) {
	p.mu.Lock()
	values, revision := c.view()
	m := &schema.SourceChanges{Revision: revision}
	for _, v := range values {
		m.Changes = append(m.Changes, &schema.SourceChange{Key: v.GetKey(), Revision: v.GetRevision(), Deleted: v.GetDeleted()})
	}
	p.mu.Unlock()
	send(w, m)
}

func (p *Platform) value(w http.ResponseWriter, r *http.Request, c *collection) {
	p.mu.Lock()
	values, _ := c.view()
	v := values[r.FormValue("key")]
	p.mu.Unlock()
	if v == nil {
		http.NotFound(w, r)
		return
	}
	send(w, v)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil || len(body) > maxValueBytes {
		http.Error(w, "a value has at most 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	p.handleWrite(w, r, func(name, key string) int64 { return p.Put(name, key, body) })
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.handleWrite(w, r, p.Delete)
}

func (p *Platform) handleWrite(w http.ResponseWriter, r *http.Request, write func(name, key string) int64) {
	name := r.PathValue("collection")
	if p.collections[name] == nil {
		http.NotFound(w, r)
		return
	}
	_, _ = io.WriteString(w, strconv.FormatInt(write(name, name+"/"+strings.TrimSuffix(r.PathValue("name"), "/")), 10)+"\n")
}

func (p *Platform) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(io.LimitReader(r.Body, maxValueBytes)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFault(f)
}

func (p *Platform) compact(http.ResponseWriter, *http.Request) {
	p.Compact()
}

func (p *Platform) counts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(p.Counts())
}

func send(w http.ResponseWriter, m proto.Message) {
	b, err := protojson.Marshal(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(b)
}
