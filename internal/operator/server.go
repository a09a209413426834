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

const maxRequestBytes = 1 << 20

// applyCost is what a change takes while it is received and decoded, in bytes.
const applyCost = 3 * maxRequestBytes

// Server serves the operators' HTTP interface. Set the exported fields before
// calling Handler.
type Server struct {
	// Credentials lists the accepted bearer tokens, in the form name:secret.
	Credentials []string
	Changer     *Changer
	State       *declared.State
	Status      func() Status
	Ready       func() bool
	Metrics     http.Handler
	// Reserve charges the memory of a change, Release returns it. Both may be nil.
	Reserve func(n int) error
	Release func(n int)
}

// Status is the state of one entry host and what it knows about its peers, the
// database groups and the client accounts.
type Status struct {
	Host              core.HostID       `json:"host"`
	Zone              core.Zone         `json:"zone"`
	Revision          platform.Revision `json:"revision"`
	Draining          bool              `json:"draining"`
	Sessions          int               `json:"sessions"`
	RetryBudget       float64           `json:"retry_budget_left"`
	PlatformReachable bool              `json:"platform_answers"`
	Peers             []peer.Peer       `json:"peers"`
	Groups            []GroupStatus     `json:"database_groups"`
	Accounts          []AccountStatus   `json:"accounts"`
}

// GroupStatus describes a database group as this host sees it.
type GroupStatus struct {
	Name      session.Group    `json:"name"`
	Term      session.Term     `json:"term"`
	Acked     session.Point    `json:"acked"`
	Endpoints []EndpointStatus `json:"endpoints"`
}

// EndpointStatus describes an endpoint as this host sees it.
type EndpointStatus struct {
	core.MemberReport
	Pool endpoint.Stats `json:"pool"`
	// Verdict describes in a few words whether the endpoint can serve reads.
	Verdict string `json:"verdict"`
}

// AccountStatus shows a client account's connections on this host, this host's
// share of the account's limit, and the limit over all hosts.
type AccountStatus struct {
	Account     template.Account `json:"account"`
	Connections int              `json:"connections"`
	Share       int              `json:"share"`
	Limit       int              `json:"limit"`
}

// StoredTemplate is a template with its version, on which the next change must
// be based.
type StoredTemplate struct {
	Template template.Template `json:"template"`
	Version  platform.Version  `json:"version"`
}

// HostRevision is the revision of the declared state that a host has loaded.
type HostRevision struct {
	Host     core.HostID       `json:"host"`
	Zone     core.Zone         `json:"zone"`
	Revision platform.Revision `json:"revision"`
	Live     bool              `json:"live"`
}

// Handler returns the handler for all paths of the interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", s.handleReady)
	mux.Handle("GET /metrics", s.Metrics)
	mux.HandleFunc("GET /v1/templates", s.authenticated(s.handleTemplates))
	mux.HandleFunc("POST /v1/apply", s.authenticated(s.handleApply))
	mux.HandleFunc("GET /v1/status", s.authenticated(s.handleStatus))
	mux.HandleFunc("GET /v1/audit", s.authenticated(s.handleAudit))
	mux.HandleFunc("GET /v1/revisions", s.authenticated(s.handleRevisions))
	return mux
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !s.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// operatorHandler handles a request from an authenticated operator.
type operatorHandler func(w http.ResponseWriter, r *http.Request, operator string)

func (s *Server) authenticated(h operatorHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		credential, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		for _, c := range s.Credentials {
			if subtle.ConstantTimeCompare([]byte(credential), []byte(c)) == 1 {
				name, _, _ := strings.Cut(c, ":")
				h(w, r, name)
				return
			}
		}
		writeError(w, http.StatusUnauthorized, result.New(result.CredentialInvalid, "unknown operator credential"))
	}
}

func (s *Server) handleTemplates(w http.ResponseWriter, _ *http.Request, _ string) {
	var out []StoredTemplate
	for _, t := range s.State.Accounts() {
		_, v, _ := s.State.Account(t.Account)
		out = append(out, StoredTemplate{Template: t, Version: v})
	}
	writeJSON(w, out)
}

func (s *Server) handleApply(w http.ResponseWriter, r *http.Request, operator string) {
	if s.Reserve != nil {
		if err := s.Reserve(applyCost); err != nil {
			writeError(w, http.StatusServiceUnavailable, result.New(result.QueueFull, "no memory for a change: %w", err))
			return
		}
		defer s.Release(applyCost)
	}
	var c Change
	dec := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&c); err != nil {
		writeError(w, http.StatusBadRequest, result.New(result.TemplateInvalid, "request: %w", err))
		return
	}
	c.Operator = operator
	writeJSON(w, s.Changer.Apply(r.Context(), c))
}

func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request, _ string) {
	writeJSON(w, s.Status())
}

func (s *Server) handleAudit(w http.ResponseWriter, r *http.Request, _ string) {
	rows, _, err := s.Changer.Table.Changes(r.Context(), AuditPrefix, 0, 0)
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, result.New(result.PlatformDown, "%w", err))
		return
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return int(a.Revision) - int(b.Revision) })
	q := r.URL.Query()
	since, err := parseSince(q.Get("since"))
	if err != nil {
		writeError(w, http.StatusBadRequest, result.New(result.TemplateInvalid, "since: %w", err))
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
	writeJSON(w, out)
}

func parseSince(s string) (time.Time, error) {
	if s == "" {
		return time.Time{}, nil
	}
	return time.Parse(time.RFC3339, s)
}

func (s *Server) handleRevisions(w http.ResponseWriter, _ *http.Request, _ string) {
	st := s.Status()
	out := []HostRevision{{Host: st.Host, Zone: st.Zone, Revision: st.Revision, Live: true}}
	for _, p := range st.Peers {
		out = append(out, HostRevision{Host: p.Host, Zone: p.Zone, Revision: p.Revision, Live: p.Live && !p.Leaving})
	}
	writeJSON(w, out)
}

// errorReply is the body of a response with an error status.
type errorReply struct {
	Code result.Code `json:"code"`
	Name string      `json:"name"`
	Text string      `json:"text"`
}

func writeError(w http.ResponseWriter, status int, err *result.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(errorReply{Code: err.Code, Name: err.Code.Info().Name, Text: err.Error()})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
