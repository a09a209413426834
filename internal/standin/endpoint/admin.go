package endpoint

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cumintrestle/cumintrestle/internal/core"
)

// AdminState is the response of GET /standin/state. OpenSessions and PeakSessions count data
// sessions (control sessions are left out), and MaxSessions bounds them.
type AdminState struct {
	Status       core.MemberStatus `json:"status"`
	OpenSessions int               `json:"held"`
	PeakSessions int               `json:"peak"`
	MaxSessions  int               `json:"limit"`
}

// AdminSettings is the request body of PUT /standin/settings.
type AdminSettings struct {
	ApplyLagMS int64 `json:"apply_lag_ms"`
	SendLagMS  int64 `json:"send_lag_ms"`
	Leaving    bool  `json:"leaving"`
	// SecondAnswerShare and SecondAnswerMS are the fields of SecondAnswers.
	SecondAnswerShare float64 `json:"second_answer_share"`
	SecondAnswerMS    int64   `json:"second_answer_ms"`
}

// AdminHandler serves the node's state and sets its simulated lags, its
// leaving mark and its second answers over HTTP.
func (n *Node) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/state", func(w http.ResponseWriter, _ *http.Request) {
		s := AdminState{Status: n.Status(), OpenSessions: n.OpenSessions(), PeakSessions: n.PeakSessions(), MaxSessions: n.MaxSessions}
		_ = json.NewEncoder(w).Encode(s)
	})
	mux.HandleFunc("PUT /standin/settings", func(w http.ResponseWriter, r *http.Request) {
		var s AdminSettings
		if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		n.SetLag(time.Duration(s.ApplyLagMS)*time.Millisecond, time.Duration(s.SendLagMS)*time.Millisecond)
		n.SetLeaving(s.Leaving)
		n.SetSecondAnswers(SecondAnswers{Share: s.SecondAnswerShare, MaxDelay: time.Duration(s.SecondAnswerMS) * time.Millisecond})
	})
	return mux
}
