package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/benbjohnson/clock"
)

const (
	bodyLimit = 4 << 20
	waitLimit = 30 * time.Second
)

// Faults say what is wrong with the platform now.
type Faults struct {
	Down bool `json:"down"`
	// DelayMS is added to every answer, in ms.
	DelayMS int64 `json:"delay_ms"`
	// LoseAnswers is the number of commits whose answers are lost after the
	// writes took effect.
	LoseAnswers int `json:"lose_answers"`
}

// Host is one host in the platform's list.
type Host struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Server is the stand-in.
type Server struct {
	clock  clock.Clock
	store  *store
	mux    *http.ServeMux
	mu     sync.Mutex
	faults Faults
	hosts  []Host
}

// NewServer returns an empty platform.
func NewServer(c clock.Clock) *Server {
	s := &Server{clock: c, store: newStore(), mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /v1/table/commit", s.guarded(s.commit))
	s.mux.HandleFunc("GET /v1/table/changes", s.guarded(s.changes))
	s.mux.HandleFunc("GET /v1/objects/{key...}", s.guarded(s.getObject))
	s.mux.HandleFunc("PUT /v1/objects/{key...}", s.guarded(s.putObject))
	s.mux.HandleFunc("GET /v1/hosts", s.guarded(s.getHosts))
	s.mux.HandleFunc("PUT /standin/hosts", s.putHosts)
	s.mux.HandleFunc("PUT /standin/faults", s.putFaults)
	s.mux.HandleFunc("GET /standin/counts", s.counts)
	return s
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetHosts replaces the host list.
func (s *Server) SetHosts(hosts []Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = hosts
}

// guarded applies the faults that hold for every call.
func (s *Server) guarded(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		if f.DelayMS > 0 {
			s.clock.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		}
		if f.Down {
			http.Error(w, "the table service is down", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

func (s *Server) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers <= 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Writes []write `json:"writes"`
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, bodyLimit)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	revision, conflicts := s.store.commit(req.Writes)
	if s.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	if conflicts != nil {
		w.WriteHeader(http.StatusConflict)
		reply(w, struct {
			Conflicts []row `json:"conflicts"`
		}{conflicts})
		return
	}
	reply(w, struct {
		Revision uint64 `json:"revision"`
	}{revision})
}

// changes answers at once when something changed after since, else it waits
// up to wait_ms.
func (s *Server) changes(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since: "+err.Error(), http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timeout := s.clock.After(min(time.Duration(waitMS)*time.Millisecond, waitLimit))
	for {
		rows, revision, changed := s.store.since(q.Get("prefix"), since)
		if len(rows) > 0 || waitMS <= 0 {
			s.replyRows(w, rows, revision)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waitMS = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) replyRows(w http.ResponseWriter, rows []row, revision uint64) {
	reply(w, struct {
		Rows     []row  `json:"rows"`
		Revision uint64 `json:"revision"`
	}{rows, revision})
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.store.mu.Lock()
	body, ok := s.store.objects[r.PathValue("key")]
	s.store.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(body)
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, bodyLimit))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.store.mu.Lock()
	s.store.objects[strings.Clone(r.PathValue("key"))] = body
	s.store.mu.Unlock()
}

func (s *Server) getHosts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply(w, struct {
		Hosts []Host `json:"hosts"`
	}{s.hosts})
}

func (s *Server) putHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []Host
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetHosts(hosts)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) counts(w http.ResponseWriter, _ *http.Request) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	reply(w, struct {
		Reads  uint64 `json:"reads"`
		Writes uint64 `json:"writes"`
	}{s.store.reads, s.store.writes})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
