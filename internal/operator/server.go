package operator

import (
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/core"
	"github.com/cumintrestle/cumintrestle/internal/declared"
	"github.com/cumintrestle/cumintrestle/internal/endpoint"
	"github.com/cumintrestle/cumintrestle/internal/peer"
	"github.com/cumintrestle/cumintrestle/internal/platform"
	"github.com/cumintrestle/cumintrestle/pkg/result"
	"github.com/cumintrestle/cumintrestle/pkg/session"
	"github.com/cumintrestle/cumintrestle/pkg/template"
)

const requestLimit = 1 << 20

// Server is the operators' HTTP interface. The exported fields are set before
// Handler is called.
type Server struct {
	// Credentials have the form name:secret.
	Credentials []string
	Changer     *Changer
	State       *declared.State
	Status      func() Status
	Ready       func() bool
	Metrics     http.Handler
}

// Status is what one entry host knows.
type Status struct {
	Host     core.HostID       `json:"host"`
	Zone     core.Zone         `json:"zone"`
	Revision platform.Revision `json:"revision"`
	Draining bool              `json:"draining"`
	Sessions int               `json:"sessions"`
	Retries  float64           `json:"retry_budget_left"`
	Platform bool              `json:"platform_answers"`
	Peers    []peer.Peer       `json:"peers"`
	Groups   []GroupStatus     `json:"database_groups"`
	Accounts []AccountStatus   `json:"accounts"`
}

// GroupStatus describes one database group.
type GroupStatus struct {
	Name     session.Group    `json:"name"`
	Term     session.Term     `json:"term"`
	Acked    session.Point    `json:"acked"`
	Endpoint []EndpointStatus `json:"endpoints"`
}

// EndpointStatus describes one endpoint as this host sees it.
type EndpointStatus struct {
	core.MemberReport
	Pool endpoint.Stats `json:"pool"`
	// Verdict says why a read goes there now or not.
	Verdict string `json:"verdict"`
}

// AccountStatus describes a client account on this host.
type AccountStatus struct {
	Account     template.Account `json:"account"`
	Connections int              `json:"connections"`
	Share       int              `json:"share"`
	Limit       int              `json:"limit"`
}

// Stored is a template with the version that the next change names.
type Stored struct {
	Template template.Template `json:"template"`
	Version  platform.Version  `json:"version"`
}

// ForceStatus tells which hosts have which revision.
type ForceStatus struct {
	Host     core.HostID       `json:"host"`
	Zone     core.Zone         `json:"zone"`
	Revision platform.Revision `json:"revision"`
	Live     bool              `json:"live"`
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.Handle("GET /metrics", s.Metrics)
	mux.HandleFunc("GET /v1/templates", s.guarded(s.templates))
	mux.HandleFunc("POST /v1/apply", s.guarded(s.apply))
	mux.HandleFunc("GET /v1/status", s.guarded(s.status))
	mux.HandleFunc("GET /v1/audit", s.guarded(s.audit))
	mux.HandleFunc("GET /v1/revisions", s.guarded(s.revisions))
	return mux
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// handler serves a request of a named operator.
type handler func(w http.ResponseWriter, r *http.Request, operator string)

func (s *Server) guarded(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		given, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		for _, c := range s.Credentials {
			if subtle.ConstantTimeCompare([]byte(given), []byte(c)) == 1 {
				name, _, _ := strings.Cut(c, ":")
				h(w, r, name)
				return
			}
		}
		replyError(w, http.StatusUnauthorized, result.New(result.CredentialInvalid, "unknown operator credential"))
	}
}

func (s *Server) templates(w http.ResponseWriter, _ *http.Request, _ string) {
	var out []Stored
	for _, t := range s.State.Accounts() {
		_, v, _ := s.State.Account(t.Account)
		out = append(out, Stored{Template: t, Version: v})
	}
	reply(w, out)
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request, operator string) {
	var c Change
	dec := json.NewDecoder(io.LimitReader(r.Body, requestLimit))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		replyError(w, http.StatusBadRequest, result.New(result.TemplateInvalid, "request: %w", err))
		return
	}
	c.Operator = operator
	reply(w, s.Changer.Apply(r.Context(), c))
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request, _ string) {
	reply(w, s.Status())
}

func (s *Server) audit(w http.ResponseWriter, r *http.Request, _ string) {
	rows, _, err := s.Changer.Table.Changes(r.Context(), AuditPrefix, 0, 0)
	if err != nil {
		replyError(w, http.StatusServiceUnavailable, result.New(result.PlatformDown, "%w", err))
		return
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return int(a.Revision) - int(b.Revision) })
	q := r.URL.Query()
	since, err := sinceTime(q.Get("since"))
	if err != nil {
		replyError(w, http.StatusBadRequest, result.New(result.TemplateInvalid, "since: %w", err))
		return
	}
	var out []AuditRecord
	for _, row := range rows {
		var rec AuditRecord
		if json.Unmarshal(row.Value, &rec) != nil || rec.At.Before(since) {
			continue
		}
		if a := q.Get("account"); a != "" && a != string(rec.Account) {
			continue
		}
		if g := q.Get("group"); g != "" && g != rec.Group {
			continue
		}
		out = append(out, rec)
	}
	reply(w, out)
}

func sinceTime(s string) (time.Time, error) {
	if s == "" {
		return time.Time{}, nil
	}
	return time.Parse(time.RFC3339, s)
}

func (s *Server) revisions(w http.ResponseWriter, _ *http.Request, _ string) {
	st := s.Status()
	out := []ForceStatus{{Host: st.Host, Zone: st.Zone, Revision: st.Revision, Live: true}}
	for _, p := range st.Peers {
		out = append(out, ForceStatus{Host: p.Host, Zone: p.Zone, Revision: p.Revision, Live: p.Live && !p.Leaving})
	}
	reply(w, out)
}

// errorReply is the body of a refused call.
type errorReply struct {
	Code result.Code `json:"code"`
	Name string      `json:"name"`
	Text string      `json:"text"`
}

func replyError(w http.ResponseWriter, status int, err *result.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorReply{Code: err.Code, Name: err.Code.Info().Name, Text: err.Error()})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
