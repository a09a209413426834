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
	maxBodyBytes   = 4 << 20
	maxChangesWait = 30 * time.Second
)

// Faults are the faults that the stand-in simulates.
type Faults struct {
	// Down answers every call of the platform's interface with status 503.
	Down bool `json:"down"`
	// DelayMS delays every response, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// LoseAnswers is the number of upcoming commits whose response is dropped
	// after the writes took effect. A commit with conflicts counts too.
	LoseAnswers int `json:"lose_answers"`
}

// Host is one entry host in the platform's host list.
type Host struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Server serves the stand-in's HTTP interface: the platform's calls under /v1,
// and control of the stand-in itself under /standin.
type Server struct {
	clock  clock.Clock
	store  *store
	mux    *http.ServeMux
	mu     sync.Mutex
	faults Faults
	hosts  []Host
}

// NewServer returns a server without rows, objects, hosts and faults.
func NewServer(c clock.Clock) *Server {
	s := &Server{clock: c, store: newStore(), mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /v1/table/commit", s.withFaults(s.commit))
	s.mux.HandleFunc("GET /v1/table/changes", s.withFaults(s.changes))
	s.mux.HandleFunc("GET /v1/objects/{key...}", s.withFaults(s.getObject))
	s.mux.HandleFunc("PUT /v1/objects/{key...}", s.withFaults(s.putObject))
	s.mux.HandleFunc("GET /v1/hosts", s.withFaults(s.getHosts))
	s.mux.HandleFunc("PUT /standin/hosts", s.putHosts)
	s.mux.HandleFunc("PUT /standin/faults", s.putFaults)
	s.mux.HandleFunc("PUT /standin/restore", s.putRestore)
	s.mux.HandleFunc("GET /standin/counts", s.counts)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFaults replaces the simulated faults.
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

// Restore brings the table back with the state that it had the given time ago. What was
// committed since is gone.
func (s *Server) Restore(age time.Duration) { s.store.restore(s.clock.Now().Add(-age)) }

// setEra adds the era of the table to a response.
func (s *Server) setEra(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatUint(s.store.currentEra(), 10))
}

// withFaults applies DelayMS and Down to a handler.
func (s *Server) withFaults(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		if f.DelayMS > 0 {
			s.clock.Sleep(time.Duration(f.DelayMS) * time.Millisecond)
		}
		s.setEra(w)
		if f.Down {
			http.Error(w, "the table service is down", http.StatusServiceUnavailable)
			return
		}
		h(w, r)
	}
}

// shouldDropResponse reports whether the response of the current commit has to
// be dropped, and counts LoseAnswers down.
func (s *Server) shouldDropResponse() bool {
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
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	revision, conflicts := s.store.commit(s.clock.Now(), req.Writes)
	if s.shouldDropResponse() {
		panic(http.ErrAbortHandler)
	}
	if conflicts != nil {
		w.WriteHeader(http.StatusConflict)
		writeJSON(w, struct {
			Conflicts []row `json:"conflicts"`
		}{conflicts})
		return
	}
	writeJSON(w, struct {
		Revision uint64 `json:"revision"`
	}{revision})
}

// changes is a long poll: it responds at once if rows changed after revision
// since, and otherwise waits for a change for up to wait_ms.
func (s *Server) changes(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, err := strconv.ParseUint(q.Get("since"), 10, 64)
	if err != nil {
		http.Error(w, "since: "+err.Error(), http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timeout := s.clock.After(min(time.Duration(waitMS)*time.Millisecond, maxChangesWait))
	for {
		rows, revision, changed := s.store.changesSince(q.Get("prefix"), since)
		s.setEra(w)
		if since > revision {
			http.Error(w, "the table does not have that revision", http.StatusGone)
			return
		}
		if len(rows) > 0 || waitMS <= 0 {
			s.writeRows(w, rows, revision)
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

func (s *Server) writeRows(w http.ResponseWriter, rows []row, revision uint64) {
	writeJSON(w, struct {
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
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
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
	writeJSON(w, struct {
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

func (s *Server) putRestore(w http.ResponseWriter, r *http.Request) {
	var req struct {
		AgeMS int64 `json:"age_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Restore(time.Duration(req.AgeMS) * time.Millisecond)
}

func (s *Server) counts(w http.ResponseWriter, _ *http.Request) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	writeJSON(w, struct {
		Reads  uint64 `json:"reads"`
		Writes uint64 `json:"writes"`
	}{s.store.reads, s.store.writes})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
