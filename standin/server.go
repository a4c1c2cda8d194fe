package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jaypitch/jaypitch"
)

// Server is a backend server: it runs requests in slots, sheds what it has no slot for, starts cold,
// drains, accepts cancellation and deadlines, and counts what it ran by request id.
type Server struct {
	name  string
	slots int
	mux   *http.ServeMux

	mu       sync.Mutex
	started  time.Time
	running  int
	ran      map[string]int
	counts   ServerCounts
	settings ServerSettings
	health   bool
	healthAt time.Time
}

// ServerSettings is how a backend server behaves.
type ServerSettings struct {
	// WorkMS is the time that a request takes if it doesn't say.
	WorkMS int64 `json:"work_ms"`
	// ColdMS is the time after the start in which requests take ColdFactor times as long.
	ColdMS     int64 `json:"cold_ms"`
	ColdFactor int64 `json:"cold_factor"`
	Draining   bool  `json:"draining"`
	// Shedding refuses everything.
	Shedding bool `json:"shedding"`
	// Truncate ends answers in the middle.
	Truncate bool `json:"cut"`
	// Unhealthy makes the health endpoint say so after HealthLagMS.
	Unhealthy   bool  `json:"sick"`
	HealthLagMS int64 `json:"health_lag_ms"`
}

// ServerCounts is what a backend server counted.
type ServerCounts struct {
	Executed   int64 `json:"ran"`
	Duplicates int64 `json:"doubles"`
	Shed       int64 `json:"shed"`
	Cancelled  int64 `json:"cancelled"`
	// ExecutedWhileDraining is the number of requests that began after the drain did.
	ExecutedWhileDraining int64 `json:"ran_while_draining"`
}

// HeaderRequestID names a request, so that a double is seen.
const HeaderRequestID = "X-Request-Id"

// NewServer makes a backend server that runs that many requests at once.
func NewServer(name string, slots int, s ServerSettings) *Server {
	v := &Server{name: name, slots: slots, mux: http.NewServeMux(), started: time.Now(), ran: map[string]int{}, settings: s, health: true}
	v.mux.HandleFunc("GET /health", v.healthCheck)
	v.mux.HandleFunc("GET /admin/counts", v.sendCounts)
	v.mux.HandleFunc("GET /admin/ran", v.sendRan)
	v.mux.HandleFunc("POST /admin/settings", v.set)
	v.mux.HandleFunc("/", v.work)
	return v
}

// ServeHTTP answers requests and the admin calls.
func (v *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.mux.ServeHTTP(w, r)
}

// Set changes how the server behaves.
func (v *Server) Set(s ServerSettings) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.settings = s
	v.healthAt = time.Now().Add(time.Duration(s.HealthLagMS) * time.Millisecond)
}

// Counts returns what was counted.
func (v *Server) Counts() ServerCounts {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.counts
}

// Executions returns how often a request id ran.
func (v *Server) Executions(id string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.ran[id]
}

// work runs a request: ?ms=N takes that time, ?bytes=N answers that much; a body is given back.
func (v *Server) work(w http.ResponseWriter, r *http.Request) {
	if v.isDraining() {
		w.Header().Set(jaypitch.HeaderDraining, "true")
	}
	s, ok := v.begin(r)
	if !ok {
		w.Header().Set(jaypitch.HeaderShed, "true")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer v.end()
	body, _ := io.ReadAll(r.Body)
	ctx, cancel := withDeadline(r)
	defer cancel()
	t := time.NewTimer(v.workTime(r, s))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		v.cancelled()
		panic(http.ErrAbortHandler)
	}
	v.answer(w, r, s, body)
}

// withDeadline ends a request's context when the time left that it tells has passed.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.ParseInt(r.Header.Get(jaypitch.HeaderTimeLeft), 10, 64)
	if err != nil {
		return r.Context(), func() {}
	}
	return context.WithTimeout(r.Context(), time.Duration(left)*time.Microsecond)
}

func (v *Server) answer(w http.ResponseWriter, r *http.Request, s ServerSettings, body []byte) {
	w.Header().Set("X-Server", v.name)
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	n, _ := strconv.Atoi(r.FormValue("bytes"))
	if n == 0 && len(body) == 0 {
		body = []byte(r.Header.Get(HeaderRequestID) + "\n")
	}
	body = append(body, make([]byte, n)...)
	if s.Truncate {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+1))
		_, _ = w.Write(body)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// begin takes a slot and counts the request.
func (v *Server) begin(r *http.Request) (ServerSettings, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.settings.Shedding || v.running >= v.slots {
		v.counts.Shed++
		return v.settings, false
	}
	v.running++
	v.counts.Executed++
	if v.settings.Draining {
		v.counts.ExecutedWhileDraining++
	}
	if id := r.Header.Get(HeaderRequestID); id != "" {
		v.ran[id]++
		if v.ran[id] > 1 {
			v.counts.Duplicates++
		}
	}
	return v.settings, true
}

func (v *Server) end() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.running--
}

func (v *Server) cancelled() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.counts.Cancelled++
}

func (v *Server) isDraining() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.settings.Draining
}

func (v *Server) workTime(r *http.Request, s ServerSettings) time.Duration {
	ms := s.WorkMS
	if n, err := strconv.ParseInt(r.URL.Query().Get("ms"), 10, 64); err == nil {
		ms = n
	}
	if time.Since(v.started) < time.Duration(s.ColdMS)*time.Millisecond {
		ms *= max(1, s.ColdFactor)
	}
	return time.Duration(ms) * time.Millisecond
}

// healthCheck answers with the state of some time ago.
func (v *Server) healthCheck(w http.ResponseWriter, _ *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if time.Now().After(v.healthAt) {
		v.health = !v.settings.Unhealthy
	}
	if v.settings.Draining {
		w.Header().Set(jaypitch.HeaderDraining, "true")
	}
	if !v.health {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (v *Server) sendCounts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(v.Counts())
}

func (v *Server) sendRan(w http.ResponseWriter, r *http.Request) {
	_ = json.NewEncoder(w).Encode(v.Executions(r.FormValue("id")))
}

func (v *Server) set(w http.ResponseWriter, r *http.Request) {
	var s ServerSettings
	if err := json.NewDecoder(io.LimitReader(r.Body, maxValueBytes)).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v.Set(s)
}
