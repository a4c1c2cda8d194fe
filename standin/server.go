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

// Server is a backend server of the node family. It executes requests in slots and sheds those that find no free slot. It can be
// slow after the start, and drain. It observes cancellation and deadlines, and counts executions by request ID.
type Server struct {
	name  string
	slots int
	mux   *http.ServeMux

	mu             sync.Mutex
	started        time.Time
	running        int
	executions     map[string]int
	counts         ServerCounts
	settings       ServerSettings
	healthy        bool
	healthChangeAt time.Time
}

// ServerSettings configures the behaviour of a Server.
type ServerSettings struct {
	// ServiceTimeMS is the service time of requests without a ms parameter.
	ServiceTimeMS int64 `json:"work_ms"`
	// ColdMS is the period after the start in which the service time is multiplied by ColdFactor.
	ColdMS     int64 `json:"cold_ms"`
	ColdFactor int64 `json:"cold_factor"`
	Draining   bool  `json:"draining"`
	// Shedding makes the server shed every request.
	Shedding bool `json:"shedding"`
	// Truncate ends every response one byte before its Content-Length.
	Truncate bool `json:"cut"`
	// Unhealthy makes the health endpoint respond with 503. A change takes effect after HealthLagMS.
	Unhealthy   bool  `json:"sick"`
	HealthLagMS int64 `json:"health_lag_ms"`
}

// ServerCounts are the counters of a Server.
type ServerCounts struct {
	Executed int64 `json:"ran"`
	// Duplicates is the number of executions beyond the first of each request ID.
	Duplicates int64 `json:"doubles"`
	Shed       int64 `json:"shed"`
	Canceled   int64 `json:"cancelled"`
	// ExecutedWhileDraining is the number of requests that were started while the server was draining.
	ExecutedWhileDraining int64 `json:"ran_while_draining"`
}

// HeaderRequestID carries the ID by which duplicate executions of a request are detected.
const HeaderRequestID = "X-Request-Id"

// NewServer returns a backend server that executes up to slots requests at a time.
func NewServer(name string, slots int, s ServerSettings) *Server {
	v := &Server{name: name, slots: slots, mux: http.NewServeMux(), started: time.Now(), executions: map[string]int{}, settings: s, healthy: true}
	v.mux.HandleFunc("GET /health", v.healthCheck)
	v.mux.HandleFunc("GET /admin/counts", v.sendCounts)
	v.mux.HandleFunc("GET /admin/ran", v.sendExecutions)
	v.mux.HandleFunc("POST /admin/settings", v.set)
	v.mux.HandleFunc("/", v.handle)
	return v
}

// ServeHTTP serves requests, the health endpoint and the endpoints under /admin/.
func (v *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	v.mux.ServeHTTP(w, r)
}

// Set replaces the settings.
func (v *Server) Set(s ServerSettings) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.settings = s
	v.healthChangeAt = time.Now().Add(time.Duration(s.HealthLagMS) * time.Millisecond)
}

// Counts returns the counters.
func (v *Server) Counts() ServerCounts {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.counts
}

// Executions returns the number of executions of a request ID.
func (v *Server) Executions(id string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.executions[id]
}

// handle executes a request. The parameter ms sets the service time; the parameter bytes adds that many zero bytes to the response.
// The request body is echoed.
func (v *Server) handle(w http.ResponseWriter, r *http.Request) {
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
	t := time.NewTimer(v.serviceTime(r, s))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		v.countCanceled()
		panic(http.ErrAbortHandler)
	}
	v.respond(w, r, s, body)
}

// withDeadline returns the request's context, with a deadline after the microseconds in the header HeaderTimeLeft if it is set.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.ParseInt(r.Header.Get(jaypitch.HeaderTimeLeft), 10, 64)
	if err != nil {
		return r.Context(), func() {}
	}
	return context.WithTimeout(r.Context(), time.Duration(left)*time.Microsecond)
}

func (v *Server) respond(w http.ResponseWriter, r *http.Request, s ServerSettings, body []byte) {
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

// begin occupies a slot and counts the request. It returns false if the request is shed.
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
		v.executions[id]++
		if v.executions[id] > 1 {
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

func (v *Server) countCanceled() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.counts.Canceled++
}

func (v *Server) isDraining() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.settings.Draining
}

func (v *Server) serviceTime(r *http.Request, s ServerSettings) time.Duration {
	ms := s.ServiceTimeMS
	if n, err := strconv.ParseInt(r.URL.Query().Get("ms"), 10, 64); err == nil {
		ms = n
	}
	if time.Since(v.started) < time.Duration(s.ColdMS)*time.Millisecond {
		ms *= max(1, s.ColdFactor)
	}
	return time.Duration(ms) * time.Millisecond
}

// healthCheck reports the health, with the delay of HealthLagMS after a change of settings.
func (v *Server) healthCheck(w http.ResponseWriter, _ *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if time.Now().After(v.healthChangeAt) {
		v.healthy = !v.settings.Unhealthy
	}
	if v.settings.Draining {
		w.Header().Set(jaypitch.HeaderDraining, "true")
	}
	if !v.healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (v *Server) sendCounts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(v.Counts())
}

func (v *Server) sendExecutions(w http.ResponseWriter, r *http.Request) {
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
